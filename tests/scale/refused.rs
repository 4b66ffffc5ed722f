//! Calls of the bench that cannot be served are refused in one line, before anything runs.
use crate::options::{Options, OptionsError};
use crate::plan::{machine_mb, plan, Run};
use crate::report::Report;

fn read(words: &[&str]) -> Result<Options, OptionsError> {
    Options::read(["scale"].iter().chain(words))
}

fn never(_: &Options, _: &mut Report) {
    panic!("a plan runs nothing");
}

const RUNS: &[Run] = &[
    Run { name: "small", estimate_mb: |_| 10, run: never },
    Run { name: "large", estimate_mb: |options| (options.size * 900.0) as u64, run: never },
];

#[test]
fn what_cargo_passes_and_all_options_are_read() {
    let options = read(&["--bench"]).expect("read");
    assert!(options.bench && options.size == 1.0 && options.only.is_none() && options.memory_mb.is_none());
    let words =
        ["--size", "0.5", "--only", "small", "--json", "a", "--markdown", "b", "--memory-mb", "7", "--bench"];
    let options = read(&words).expect("read");
    assert_eq!((options.size, options.only.as_deref(), options.memory_mb), (0.5, Some("small"), Some(7)));
    assert!(options.json.is_some() && options.markdown.is_some());
}

#[test]
fn an_unusable_option_is_refused_in_one_line() {
    for words in [
        ["--size", "0"],
        ["--size", "1.01"],
        ["--size", "-1"],
        ["--size", "NaN"],
        ["--size", "much"],
        ["--memory-mb", "-5"],
        ["--memory-mb", "all"],
        ["--nothing", "1"],
        ["--json", "--only"],
    ] {
        let refused = read(&words).expect_err(words[1]);
        let line = refused.to_string();
        assert!(!matches!(refused, OptionsError::Help(_)), "{words:?}");
        assert!(!line.is_empty() && !line.contains('\n'), "{words:?}: {line}");
    }
    assert!(matches!(read(&["--help"]), Err(OptionsError::Help(text)) if text.contains("--size")));
}

#[test]
fn a_run_that_there_is_not_is_refused_with_the_names() {
    let options = read(&["--only", "smal"]).expect("read");
    let refused = plan(&options, RUNS, Some(8000)).err().expect("refused").to_string();
    assert!(refused.contains("small, large") && !refused.contains('\n'), "{refused}");
}

#[test]
fn a_run_over_the_memory_bound_is_refused_before_any_starts() {
    let all = |size: &str, machine| {
        let options = read(&["--size", size]).expect("read");
        plan(&options, RUNS, machine).map(|runs| runs.iter().map(|r| r.name).collect::<Vec<_>>())
    };
    // Half of the machine's memory is the bound where nothing is said.
    assert_eq!(all("1", Some(1800)), Ok(vec!["small", "large"]));
    let (run, needs_mb, bound_mb) = ("large".to_owned(), 900, 899);
    assert_eq!(all("1", Some(1799)), Err(OptionsError::TooLarge { run, needs_mb, bound_mb }));
    assert_eq!(all("0.5", Some(1799)), Ok(vec!["small", "large"]));
    assert_eq!(all("1", None), Err(OptionsError::UnknownMemory));
    let told = read(&["--memory-mb", "100"]).expect("read");
    assert!(matches!(plan(&told, RUNS, Some(1 << 20)), Err(OptionsError::TooLarge { .. })));
    let alone = read(&["--memory-mb", "100", "--only", "small"]).expect("read");
    assert!(plan(&alone, RUNS, None).is_ok_and(|runs| runs.len() == 1));
}

#[test]
fn the_machine_s_memory_is_read_as_the_kernel_tells_it() {
    assert_eq!(machine_mb("MemTotal:       24681556 kB\nMemFree: 1 kB\n"), Some(24_103));
    assert_eq!(machine_mb("MemFree: 1 kB\n"), None);
    assert_eq!(machine_mb("MemTotal: much kB\n"), None);
}
