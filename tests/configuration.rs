//! The program's start with configurations that can't be used.
mod common;

use std::net::SocketAddr;
use std::process::Command;

use common::configure;

/// What cannot be used ends the program with one line and a status that is not zero.
#[test]
fn a_bad_configuration_is_one_line_and_a_status() {
    let at = SocketAddr::from(([127, 0, 0, 1], 9));
    let folder = configure("bad", &[at], at, 1, 75);
    let good = std::fs::read_to_string(folder.join("config.json")).expect("read");
    let api = std::fs::read_to_string(folder.join("marlgap.json5")).expect("read");
    let run = |config: &str, api: &str, arguments: &[&str]| {
        std::fs::write(folder.join("config.json"), config).expect("written");
        std::fs::write(folder.join("marlgap.json5"), api).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_marlgap"));
        command.env("RELAY_CONFIG", folder.join("config.json")).current_dir(&folder).args(arguments);
        let output = command.output().expect("it runs");
        let said = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success() && said.lines().count() == 1, "{said}");
        said
    };
    assert!(run("{", &api, &[]).contains("configuration: "));
    assert!(run(&good.replace("127.0.0.1:0", "nowhere"), &api, &[]).contains("'nowhere' is not an address"));
    assert!(run(&good.replace("\"seed\":\"1\"", "\"seed\":\"xyz\""), &api, &[]).contains("seed"));
    assert!(run(&good.replace("Positions", "Other"), &api, &[]).contains("FamilyInfo.Positions"));
    assert!(run(&good.replace("\"AimS\":4.0", "\"AimS\":-4.0"), &api, &[])
        .contains("AimS is not above 0 (class 0)"));
    // The operator's file: each fault with its path, line and column.
    let search = ["serve", "--config", "marlgap.json5"];
    let faults = [
        ("\"listen\":\"127.0.0.1:0\"", "\"listen\":5", "query_api.listen: "),
        ("\"records\"", "\"record\"", "query_api.record: unknown field"),
        (
            "\"field-lookup\",\"overlaps\"",
            "\"no-class\",\"overlaps\"",
            "query_api.indices.fields: no class 'no-class'",
        ),
        ("\"overlaps\":\"overlap-check\"", "\"overlaps\":\"field-lookup\"", "has another index"),
        ("\"AimS\":4.0", "\"AimS\":\"4\"", "settings.Classes[0].AimS: "),
        (
            "\"Shards\":24",
            "\"Shards\":0",
            "settings.FamilyInfo.Shards: FamilyInfo.Shards is not a whole number",
        ),
        ("\"Shards\":24", "\"Other\":24", "settings: FamilyInfo.Shards is missing or 0"),
    ];
    for (old, new, said) in faults {
        assert!(api.contains(old), "{old} in {api}");
        let line = run(&good, &api.replace(old, new), &search);
        assert!(line.starts_with("marlgap: marlgap.json5:1:") && line.contains(said), "{line}");
    }
    assert!(run(&good, "{ settings: {", &search).contains("marlgap.json5:1:"));
    assert!(run(&good, &api.replace("\"zone\"", "\"nozone\""), &search).contains("cannot read"));
}
