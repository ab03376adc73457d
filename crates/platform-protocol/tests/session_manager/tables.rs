//! The tables that proxies hold: whole ones at a join, and changes afterwards.

use crate::helpers::*;
use rstest::rstest;
use serde_json::{Value, json};
use std::collections::BTreeMap;

#[rstest]
fn proxy_gets_one_full_table_and_then_only_changes() {
    let mut harness = Harness::new(4);
    harness.run_until(ms(2500));
    harness.join(1, 5);
    let first = harness.written(1);
    assert_eq!(
        (&first[0]["whole"], first.iter().filter(|m| m["more"] == true).count() + 1),
        (&json!(true), first.len())
    );
    let mut proxy_table = table(&first, BTreeMap::new());
    assert_eq!(proxy_table.len(), 4);
    harness.receive_list(Some(3), &list(4, false, vec![server(2, "DRAINING", 0)])).unwrap();
    let second = harness.written(1);
    assert!(second.iter().all(|m| m.get("whole").is_none()), "{second:?}");
    proxy_table = table(&second, proxy_table);
    assert!(!proxy_table.contains_key("s2") && proxy_table.len() == 3, "{proxy_table:?}");
}

/// The classes that a part of a message names, and the zones of its servers. Even servers are in the north.
fn part_contents(message: &Value) -> (Vec<&str>, Vec<bool>) {
    let classes = message["classes"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    let lines = message["lines"].as_array().into_iter().flatten();
    let numbers = lines.filter_map(|line| line[0].as_str()?[1..].parse::<usize>().ok());
    (classes, numbers.map(|number| number % 2 == 0).collect())
}

/// With one table for all classes, a class that keeps to its zone was sent to other zones or kept the others from them.
#[rstest]
fn class_that_keeps_to_its_zone_gets_lines_of_its_own() {
    let mut settings = settings();
    settings["familyInfo"]["staysLocal"] = json!([false, true]);
    let mut harness = Harness::with_config(config_with(4, settings));
    harness.join(1, 2);
    let joined = harness.written(1);
    let tables: Vec<&Value> = joined.iter().filter(|message| message["whole"] == true).collect();
    assert_eq!(tables.len(), 2, "{joined:?}");
    assert!(joined[..joined.len() - 1].iter().all(|part| part["more"] == true), "{joined:?}");
    let (free, bound) = (part_contents(tables[0]), part_contents(tables[1]));
    assert_eq!((free.0, bound.0), (vec!["look up"], vec!["store"]));
    assert_eq!((free.1, bound.1), (vec![true, true], vec![true, true]));
    // A drain leaves both tables in one message, and each part names the classes of its table.
    harness.receive_list(Some(3), &list(4, false, vec![server(0, "DRAINING", 0)])).unwrap();
    let drained = harness.written(1);
    let removes = |part: &&Value| part["lines"].to_string().contains("[\"s0\",0.0]");
    let classes: Vec<Vec<&str>> = drained.iter().filter(removes).map(|part| part_contents(part).0).collect();
    assert_eq!(classes, [["look up"], ["store"]], "{drained:?}");
    assert!(drained[..drained.len() - 1].iter().all(|part| part["more"] == true), "{drained:?}");
    // Without a server in the zone, only the other class goes to another zone.
    harness.receive_list(Some(4), &list(5, false, vec![server(2, "DRAINING", 0)])).unwrap();
    let lost = harness.written(1);
    let remote = lost.iter().map(part_contents).filter(|(_, is_local)| is_local.contains(&false));
    assert_eq!(remote.map(|(classes, _)| classes).collect::<Vec<_>>(), [["look up"]], "{lost:?}");
}
