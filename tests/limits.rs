//! The module's size, as its reviewers need it.
use std::path::Path;

#[test]
fn module_stays_within_its_limits() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let read = |name: &str| std::fs::read_to_string(root.join(name)).expect(name);
    let held = std::fs::read_dir(root.join("src/balance")).expect("the module's folder");
    let name = |entry: std::io::Result<std::fs::DirEntry>| entry.expect("read").file_name();
    let mut files: Vec<String> = held.map(|e| format!("src/balance/{}", name(e).to_string_lossy())).collect();
    files.sort();
    let told = read("deploy/balancer.toml");
    let policy = told.lines().find_map(|l| l.strip_prefix("policy = ")).expect("a policy");
    let policy: Vec<String> = serde_json::from_str(policy).expect("a list of files");
    assert_eq!(policy, files, "the deployment names all files of the module, and no others");
    let mut lines = 0;
    for file in &files {
        let text = read(file);
        lines += text.lines().filter(|l| !l.trim().is_empty()).count();
        assert!(text.lines().count() <= 400, "{file} is too long");
        for (i, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{file}: line {} is too long", i + 1);
        }
    }
    assert!(lines <= 950, "{lines} lines");
    assert!(read("src/balance/mod.rs").contains("`src/interface.rs`"));
}
