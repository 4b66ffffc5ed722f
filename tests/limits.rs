//! The module's size, as its reviewers need it.

#[test]
fn module_stays_within_its_limits() {
    let text = include_str!("../src/balance.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 950, "{lines} lines");
    for (i, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too long", i + 1);
    }
    assert!(text.contains("`src/interface.rs`"));
}
