//! A fleet of controllers that run as processes.

use grebespool_cluster::audit_accounts;
use grebespool_emulator::free_ports;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Controllers that are controlled through the command line only.
pub struct Fleet {
    pub folder: tempfile::TempDir,
    pub ports: Vec<u16>,
    pub running: Vec<Option<Child>>,
}

impl Fleet {
    pub fn new(members: usize) -> Fleet {
        let ports = free_ports(members * 2).unwrap().iter().map(SocketAddr::port).collect();
        let folder = tempfile::tempdir().unwrap();
        std::fs::write(folder.path().join("fleet.key"), "the key that proxies share").unwrap();
        std::fs::write(folder.path().join("members.key"), "the key that members share").unwrap();
        Fleet { folder, ports, running: (0..members).map(|_| None).collect() }
    }

    /// Writes the settings of a member, with `peers` as the other members.
    pub fn write_settings(&self, i: usize, peers: &[usize]) {
        let serve =
            include_str!("../../../../examples/serve.ncl").replace("7400", &self.ports[2 * i].to_string());
        let peer =
            |p: &usize| format!("{{ name = \"m{p}\", address = \"127.0.0.1:{}\" }}", self.ports[2 * p + 1]);
        let peers: Vec<String> = peers.iter().map(peer).collect();
        let members = format!(
            "{{ members = {{ fleet = \"f\", name = \"m{i}\", address = \"127.0.0.1:{}\", folder = \"state{i}\",
               key_file = \"members.key\", peers = [{}], beat = \"150ms\", lease = \"900ms\",
               duties = {{ lease = \"2s\", renew = \"200ms\",
                           agree = {{ lease = \"900ms\", renew = \"150ms\" }},
                           accounts = {{ folder = \"accounts\", period = \"200ms\", slack = \"200ms\" }} }} }},
               deployment.sites.watched = true }}",
            self.ports[2 * i + 1],
            peers.join(", ")
        );
        std::fs::write(self.folder.path().join(format!("m{i}.ncl")), format!("({serve}) & {members}"))
            .unwrap();
    }

    pub fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_grebespool-cli"));
        command.args(arguments).current_dir(self.folder.path());
        command
    }

    pub fn run(&self, arguments: &[&str]) -> (Option<i32>, String) {
        let output = self.command(arguments).output().unwrap();
        let text = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
        (output.status.code(), text.into_owned())
    }

    pub fn start(&mut self, i: usize) {
        let file = format!("m{i}.ncl");
        let mut child =
            self.command(&["--log", "error", "serve", &file]).stdout(Stdio::piped()).spawn().unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.as_mut().unwrap()).read_line(&mut line).unwrap();
        assert!(line.starts_with("listening at"), "{line}");
        self.running[i] = Some(child);
    }

    /// Forms a fleet of the first three members and starts them.
    pub fn form_three(&mut self) {
        for i in 0..3 {
            let others: Vec<usize> = (0..3).filter(|o| *o != i).collect();
            self.write_settings(i, &others);
            self.run_until_ok(&["members", "form", &format!("m{i}.ncl")], "3 members");
            self.start(i);
        }
    }

    /// Waits until one of these members reports that it leads, and returns it.
    pub fn leader(&self, among: &[usize]) -> usize {
        for _ in 0..60 {
            for i in among {
                let (code, text) = self.run(&["members", "show", &format!("m{i}.ncl")]);
                if code == Some(0) && text.starts_with(&format!("m{i} leads")) {
                    return *i;
                }
            }
        }
        panic!("no member of {among:?} leads");
    }

    /// Waits until the accounts have an owner other than `but`, and returns it. Asks the members in turn, because one may
    /// be stopped.
    pub fn owner(&self, asked: &[usize], but: &[usize]) -> usize {
        for _ in 0..80 {
            for i in asked {
                let (_, text) = self.run(&["duties", "show", &format!("m{i}.ncl")]);
                let found = text.lines().find_map(|l| l.strip_prefix("accounts: m")?.get(..1)?.parse().ok());
                if let Some(owner) = found.filter(|o| !but.contains(o)) {
                    return owner;
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("the accounts have no owner other than {but:?}");
    }

    pub fn signal(&self, i: usize, name: &str) {
        let id = self.running[i].as_ref().unwrap().id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Checks that each step of the accounts took place once, by its present owner, and returns the number of steps.
    pub fn steps(&self) -> usize {
        let found = audit_accounts(&self.folder.path().join("accounts")).unwrap();
        assert_eq!((found.duplicates, found.by_stale_holders, found.missing), (0, 0, 0), "{found:?}");
        found.steps
    }

    pub fn wait_for_steps_beyond(&self, least: usize) -> usize {
        for _ in 0..100 {
            std::thread::sleep(Duration::from_millis(50));
            if self.folder.path().join("accounts").exists() && self.steps() > least {
                return self.steps();
            }
        }
        panic!("no more than {least} steps");
    }

    /// Repeats a command until it succeeds, because the leader may still wait for a majority to have the last change.
    pub fn run_until_ok(&self, arguments: &[&str], expected: &str) {
        let mut last = String::new();
        for _ in 0..20 {
            let (code, text) = self.run(arguments);
            if code == Some(0) {
                assert!(text.contains(expected), "{text}");
                return;
            }
            last = text;
        }
        panic!("{arguments:?}: {last}");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.running.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
