//! Checks that every documentation page that a link or a comment refers to exists.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test may panic")]

use rstest::rstest;
use std::path::{Path, PathBuf};

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Folders that hold no documentation pages: build output, journals, and stored output of programs.
const SKIPPED: [&str; 3] = ["target", "journal", "fixtures"];

/// Returns all files below `folder` with one of the endings, except those in skipped folders.
fn files(folder: &Path, endings: &[&str]) -> Vec<PathBuf> {
    let mut found = vec![];
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        if path.is_dir() && !name.starts_with('.') && !SKIPPED.contains(&name.as_str()) {
            found.extend(files(&path, endings));
        } else if endings.iter().any(|ending| name.ends_with(ending)) {
            found.push(path);
        }
    }
    found
}

/// Returns the relative paths that a page links to, without external links and links within the page.
fn link_targets(page: &str) -> Vec<&str> {
    let links = page.split("](").skip(1).filter_map(|rest| rest.split(')').next());
    let paths = links.map(|link| link.split('#').next().unwrap_or_default());
    paths.filter(|path| !path.is_empty() && !path.contains("://") && !path.contains(' ')).collect()
}

/// Returns the pages that a source file names by their path from the root of the repository.
fn pages_named(source: &str) -> Vec<&str> {
    let is_path = |c: char| c.is_ascii_alphanumeric() || "/.-_".contains(c);
    let words = source.split(|c| !is_path(c)).map(|word| word.trim_end_matches('.'));
    words.filter(|word| word.starts_with("docs/") && word.ends_with(".md")).collect()
}

#[rstest]
fn links_between_pages_resolve() {
    let mut dead = vec![];
    for page in files(root(), &[".md"]) {
        let text = std::fs::read_to_string(&page).unwrap();
        for target in link_targets(&text) {
            if !page.parent().unwrap().join(target).exists() {
                dead.push(format!("{}: {target}", page.strip_prefix(root()).unwrap().display()));
            }
        }
    }
    assert!(dead.is_empty(), "dead links: {dead:#?}");
}

#[rstest]
fn pages_that_sources_name_exist() {
    let mut dead = vec![];
    for source in files(root(), &[".rs", ".toml", ".ncl"]) {
        let text = std::fs::read_to_string(&source).unwrap();
        for page in pages_named(&text) {
            if !root().join(page).exists() {
                dead.push(format!("{}: {page}", source.strip_prefix(root()).unwrap().display()));
            }
        }
    }
    assert!(dead.is_empty(), "missing pages: {dead:#?}");
}
