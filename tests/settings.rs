//! Every key of the settings with unusual values: each value is either accepted and used, or rejected with
//! the name of the key. Nothing panics.
mod common;

use std::path::Path;
use std::process::Command;

use marlgap::balancer::interface::{
    Action, CellId, ClassId, Discovery, Endpoint, EndpointState, EndpointUpdate, Event, Idempotency, PartId,
    QueryId, QueryNumber, ReplicaId, ShardId, TenantId,
};
use marlgap::config::settings::{self, Deployment};
use marlgap::Balancer;
use serde_json::{json, Value};

fn valid_settings() -> Value {
    json!({
        "Classes": [
            {"Name": "a", "AimS": 1.0, "DeadlineS": 2.0, "Worth": 1.0, "LateWorth": 0.3, "Semantics": "pure", "AimStretch": 1.0},
            {"Name": "b", "AimS": 1.0, "DeadlineS": 2.0, "Worth": 1.0, "Semantics": "token", "WindowS": 0.3, "DedupScope": "all"},
            {"Name": "c", "AimS": 1.0, "DeadlineS": 2.0, "Worth": 1.0, "Semantics": "side_effect", "Stream": false}],
        "Clients": {"MarksRetry": true}, "Discovery": "ask", "OverShareWorth": 0.1, "PeriodS": 0.005, "ReplicasOfMe": 3,
        "FamilyInfo": {"ClassNeed": [1.0, 0.5, 1.0], "ClassPartial": [0.9, 0.9, 0.8], "FetchParts": [3, 0, 0], "InARow": 4,
            "LeastShare": [1.0, 0.5, 0.8], "PerCall": 1, "PerCallWorkS": 0.0, "Positions": 12, "Shards": 24},
        "Limits": {"Cancel": true, "ConnectTimeoutS": 0.25, "KeepaliveS": 30.0, "MaxRetryAfterS": 2.0, "MostTries": 4,
            "Multiplex": 32, "OpenCap": 75, "Probes": true, "RetryAfter": true, "SecondCopies": true},
        "Localities": ["x", "y"], "Reporting": {"How": "inline", "Names": ["tps"]}, "Zone": 1,
        "Safety": {"AskWithinS": 10.0, "ColdFrom": 0.15, "RampTimeS": 17.0, "TipAfterS": 1.0, "TipMultiple": 2.5,
            "RepeatRatio": 0.1, "MinExtra": 3, "ResendSpanS": 10.0},
        "Tenants": [{"Name": "t", "QuotaPerS": 2.0, "Share": 0.5}, {"Name": "u"}]
    })
}

/// Loads settings in the same way as the program does at startup.
fn load(v: &Value) -> Result<Deployment, String> {
    let deployment = settings::parse(v.to_string().as_bytes()).map_err(|e| e.to_string())?;
    Balancer::new(deployment.settings.clone(), 1).map_err(|e| e.to_string())?;
    Balancer::new(deployment.with_default_tenant(), 1).map_err(|e| e.to_string())?;
    Ok(deployment)
}

/// Returns valid settings with one key set to a value, or removed if the value is `None`.
fn settings_with(pointer: &str, value: Option<Value>) -> Value {
    let mut v = valid_settings();
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    let parent = v.pointer_mut(parent).expect("an existing key");
    match (parent, value) {
        (Value::Object(map), Some(value)) => drop(map.insert(key.to_owned(), value)),
        (Value::Object(map), None) => drop(map.remove(key)),
        (Value::Array(list), value) => {
            list[key.parse::<usize>().expect("a number")] = value.unwrap_or_default()
        }
        _ => panic!("{pointer}"),
    }
    v
}

/// Whether a value is accepted.
#[derive(Clone, Copy, PartialEq)]
enum Expected {
    Accepted,
    Rejected,
}
use Expected::{Accepted as A, Rejected as R};

/// A key, the expected result if it is absent or null, and the expected results for 0, -1, 2.7, 1e300, 2^40
/// and a string.
const NUMBERS: &[(&str, Expected, [Expected; 6])] = &[
    ("/Classes/0/AimS", R, [R, R, A, A, A, R]),
    ("/Classes/0/DeadlineS", R, [R, R, A, A, A, R]),
    ("/Classes/0/Worth", R, [A, A, A, A, A, R]),
    ("/Classes/0/LateWorth", A, [A, A, A, A, A, R]),
    ("/Classes/1/WindowS", R, [A, R, A, A, A, R]),
    ("/Classes/0/WindowS", A, [A, A, A, A, A, A]),
    ("/FamilyInfo/ClassNeed/0", R, [R, R, R, R, R, R]),
    ("/FamilyInfo/LeastShare/0", R, [A, R, R, R, R, R]),
    ("/FamilyInfo/ClassPartial/0", R, [A, A, A, A, A, R]),
    ("/FamilyInfo/FetchParts/0", R, [A, R, R, R, R, R]),
    ("/FamilyInfo/InARow", R, [R, R, R, R, R, R]),
    ("/FamilyInfo/Positions", R, [R, R, R, R, R, R]),
    ("/FamilyInfo/PerCall", A, [R, R, R, A, A, R]),
    ("/FamilyInfo/Shards", A, [R, R, R, A, A, R]),
    ("/Limits/ConnectTimeoutS", A, [R, R, A, A, A, R]),
    ("/Limits/KeepaliveS", A, [R, R, A, A, A, R]),
    ("/Limits/MaxRetryAfterS", A, [A, R, A, A, A, R]),
    ("/Limits/MostTries", R, [R, R, R, A, A, R]),
    ("/Limits/Multiplex", A, [R, R, R, A, A, R]),
    ("/Limits/OpenCap", A, [R, R, R, A, A, R]),
    ("/OverShareWorth", A, [A, R, A, A, A, R]),
    ("/PeriodS", A, [A, R, R, R, R, R]),
    ("/ReplicasOfMe", A, [R, R, R, A, A, R]),
    ("/Zone", A, [A, R, R, R, R, R]),
    ("/Safety/AskWithinS", A, [A, R, A, A, A, R]),
    ("/Safety/ColdFrom", R, [A, R, R, R, R, R]),
    ("/Safety/RampTimeS", R, [R, R, A, A, A, R]),
    ("/Safety/TipAfterS", R, [R, R, A, A, A, R]),
    ("/Safety/TipMultiple", A, [R, R, A, A, A, R]),
    ("/Safety/RepeatRatio", A, [A, R, A, A, A, R]),
    ("/Safety/MinExtra", A, [A, R, A, A, A, R]),
    ("/Safety/ResendSpanS", R, [R, R, A, A, A, R]),
    ("/Tenants/0/QuotaPerS", A, [A, R, A, A, A, R]),
];

/// Returns further cases: a key, a value, and the expected result.
fn other_cases() -> Vec<(&'static str, Option<Value>, Expected)> {
    let mut all = vec![
        ("/Classes", None, R),
        ("/Classes", Some(json!([])), R),
        ("/Classes", Some(json!({})), R),
        ("/Classes/0", Some(json!(5)), R),
        ("/Classes/1/Name", Some(json!("a")), R),
        ("/Classes/1/Name", Some(json!(5)), R),
        ("/Classes/1/Name", None, A),
        ("/Classes/0/Semantics", None, R),
        ("/Classes/0/Semantics", Some(json!("Pure")), R),
        ("/Classes/1/DedupScope", Some(json!("zone")), A),
        ("/FamilyInfo", None, R),
        ("/FamilyInfo/Shards", Some(json!("many")), R),
        ("/Discovery", None, A),
        ("/Discovery", Some(json!("poll")), R),
        ("/Discovery", Some(json!(1)), R),
        ("/Limits/MostTries", Some(json!(0.5)), R),
        ("/Limits/MostTries", Some(json!(1000)), A),
        ("/Limits/MostTries", Some(json!(1)), A),
        ("/Zone", Some(json!(300)), R),
        ("/Zone", Some(json!(255)), A),
        ("/Reporting", None, A),
        ("/Reporting/How", Some(json!("sometimes")), R),
        ("/Reporting/Names", Some(json!(["tps", "depth", "new", "load_share", "mean_ms", "err_ps"])), A),
        ("/Reporting/Names", Some(json!([1])), R),
        ("/Reporting/Names", Some(json!([])), A),
        ("/Localities", None, A),
        ("/Localities", Some(json!([7])), R),
        ("/Localities", Some(json!("x")), R),
        ("/Tenants", None, A),
        ("/Tenants", Some(json!([])), A),
        ("/Tenants", Some(json!(["t"])), R),
        ("/Tenants/1/Name", Some(json!("t")), R),
        ("/Nonsense", Some(json!({"deep": [1]})), A),
    ];
    for key in ["Cancel", "Probes", "RetryAfter", "SecondCopies"] {
        let pointer: &'static str = Box::leak(format!("/Limits/{key}").into_boxed_str());
        all.extend([(pointer, None, A), (pointer, Some(json!(false)), A), (pointer, Some(json!(1)), R)]);
    }
    for key in ["Clients", "Limits", "Reporting", "Safety", "FamilyInfo"] {
        let pointer: &'static str = Box::leak(format!("/{key}").into_boxed_str());
        all.extend([(pointer, Some(json!(5)), R), (pointer, Some(json!([])), R)]);
    }
    for key in ["ClassNeed", "LeastShare", "ClassPartial", "FetchParts"] {
        let pointer: &'static str = Box::leak(format!("/FamilyInfo/{key}").into_boxed_str());
        all.extend([
            (pointer, None, A),
            (pointer, Some(json!([])), A),
            (pointer, Some(json!([1])), R),
            (pointer, Some(json!([1, 1, 1, 1])), R),
            (pointer, Some(json!(1)), R),
        ]);
    }
    all
}

#[test]
fn each_unusual_value_is_accepted_or_rejected_with_the_name_of_its_key() {
    let unusual = [json!(0), json!(-1), json!(2.7), json!(1e300), json!(1u64 << 40), json!("five")];
    let mut cases = other_cases();
    for (pointer, absent, values) in NUMBERS {
        // An entry of a list cannot be absent.
        let is_list_entry = pointer.ends_with("/0");
        cases.extend((!is_list_entry).then_some((*pointer, None, *absent)));
        cases.push((pointer, Some(Value::Null), *absent));
        cases.extend(unusual.iter().zip(values).map(|(v, expected)| (*pointer, Some(v.clone()), *expected)));
    }
    let mut mismatches = Vec::new();
    for (pointer, value, expected) in cases {
        let key = pointer.split('/').rfind(|k| k.parse::<u32>().is_err()).unwrap_or_default();
        // If a whole section is missing, the error names its first required key.
        let key = if value.is_none() && key == "FamilyInfo" { "Positions" } else { key };
        match load(&settings_with(pointer, value.clone())) {
            Ok(_) if expected == A => {}
            Err(line) if expected == R && line.contains(key) && !line.contains('\n') => {}
            other => mismatches.push(format!("{pointer} {value:?}: {:?}", other.map(|_| "accepted"))),
        }
    }
    assert!(mismatches.is_empty(), "{mismatches:#?}");
}

#[test]
fn input_that_is_not_an_object_is_rejected() {
    for text in ["", "null", "[]", "5", "{", "\u{feff}{}", "{\"Classes\":NaN}"] {
        let line = settings::parse(text.as_bytes()).map(|_| "accepted").map_err(|e| e.to_string());
        assert!(
            line.as_ref().is_err_and(|l| l.starts_with("settings") && !l.contains('\n')),
            "{text}: {line:?}"
        );
    }
}

#[test]
fn accepted_values_have_the_configured_effect() {
    let accepted = |pointer, value| load(&settings_with(pointer, value)).expect("accepted");
    assert_eq!(
        accepted("/Limits/MostTries", Some(json!(1000))).settings.max_attempts,
        255,
        "the maximum attempt number"
    );
    assert_eq!(
        accepted("/Limits/MaxRetryAfterS", Some(json!(0))).settings.retry_after,
        None,
        "no Retry-After"
    );
    assert_eq!(accepted("/Limits/RetryAfter", Some(json!(false))).settings.retry_after, None);
    let class = |deployment: &Deployment, n: usize| deployment.settings.classes[n];
    assert_eq!(class(&accepted("/Limits/Cancel", None), 1).idempotency, Idempotency::Keyed { window: 0.3 });
    // A retry may go to any holder. If only some of them drop repeats, there are no retries.
    let zone = accepted("/Classes/1/DedupScope", Some(json!("zone")));
    assert_eq!(class(&zone, 1).idempotency, Idempotency::Keyed { window: 0.0 });
    // No answer covers less than the minimum.
    let raised = accepted("/FamilyInfo/LeastShare/1", Some(json!(0.8)));
    assert_eq!((class(&raised, 1).target_coverage, class(&raised, 1).min_coverage), (0.8, 0.8));
    // One value is sufficient for a retry budget.
    let budget = accepted("/Safety/RepeatRatio", None).settings.retry_budget.expect("a budget");
    assert_eq!((budget.ratio, budget.min_attempts), (0.0, 3.0));
    assert_eq!(accepted("/Tenants", None).with_default_tenant().tenants, Vec::new());
    let pushed = accepted("/Discovery", Some(json!("push")));
    assert_eq!(pushed.settings.discovery, Discovery::Push);
}

#[test]
fn many_classes_are_accepted() {
    let mut v = valid_settings();
    let class = v["Classes"][0].clone();
    let named = |n: usize| {
        let mut class = class.clone();
        class["Name"] = format!("c{n}").into();
        class
    };
    v["Classes"] = (0..300).map(named).collect();
    for key in ["ClassNeed", "LeastShare", "ClassPartial", "FetchParts"] {
        v["FamilyInfo"][key] = Value::Null;
    }
    assert_eq!(load(&v).expect("accepted").settings.classes.len(), 300);
}

#[test]
fn each_tenant_has_its_own_id_and_unknown_ones_share_an_id_without_quota() {
    let deployment = load(&valid_settings()).expect("accepted");
    assert_eq!(
        (deployment.tenant_id(Some("t")), deployment.tenant_id(Some("u"))),
        (TenantId(0), TenantId(1))
    );
    for other in [None, Some(""), Some("T"), Some("nobody")] {
        assert_eq!(deployment.tenant_id(other), TenantId(2), "{other:?}");
    }
    assert_eq!(deployment.with_default_tenant().tenants[2].quota, 0.0);
    assert_eq!(load(&settings_with("/Tenants", None)).expect("accepted").tenant_id(Some("t")), TenantId(0));
}

/// Returns how many queries of two tenants are admitted at once when capacity is scarce.
fn admitted(flooding: u16, other: u16) -> (usize, usize) {
    let mut settings = load(&valid_settings()).expect("accepted").with_default_tenant();
    settings.coordinators = 1;
    let mut balancer = Balancer::new(settings, 1).expect("accepted");
    let listed = |n| Endpoint {
        replica: ReplicaId(n),
        cell: CellId(n as u16),
        state: EndpointState::Ready,
        weight: 1.0,
        ..Endpoint::default()
    };
    balancer.round(
        1.0,
        &[Event::Endpoints { update: EndpointUpdate::Full, endpoints: (0..12).map(listed).collect() }],
    );
    let mut events = Vec::new();
    // The queries of the flooding tenant are newer and would otherwise be served first.
    for (n, tenant) in std::iter::repeat_n(other, 2).chain(std::iter::repeat_n(flooding, 400)).enumerate() {
        let n = n as u32;
        let (query, number, tenant) = (QueryId(n), QueryNumber(n), TenantId(tenant));
        events.push(Event::Query {
            query,
            number,
            class: ClassId(2),
            tenant,
            time_left: 2.0,
            parts: 1,
            is_retry: false,
        });
        let (part, shard) = (PartId(1000 + n), ShardId(n % 24));
        events.push(Event::Part { part, number, shard, weight: 1.0, prior_attempts: 0, completed: false });
    }
    let sent = balancer.round(2.0, &events).into_iter().filter_map(|a| match a {
        Action::Send { part, .. } => Some(part.0 - 1000),
        _ => None,
    });
    let (of_other, of_flood): (Vec<_>, Vec<_>) = sent.partition(|n| *n < 2);
    (of_flood.len(), of_other.len())
}

#[test]
fn a_tenant_within_its_quota_is_served_while_another_one_floods() {
    // The first tenant has a quota of 2 queries per second, which is ten in five seconds. The third stands
    // for queries that name no tenant.
    for flooding in [0, 2] {
        let (flood, other) = admitted(flooding, 1);
        assert!(flood > 10 && flood < 400, "the limit takes effect: {flood}");
        assert_eq!(other, 2, "both queries of the tenant within its quota, besides a flood of {flooding}");
    }
}

/// Runs the program with a configuration and returns its exit status and its standard error.
fn run_program(folder: &Path, config: &[u8]) -> (Option<i32>, String) {
    std::fs::write(folder.join("config.json"), config).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_marlgap"));
    let output = command.env("RELAY_CONFIG", folder.join("config.json")).output().expect("it ends");
    (output.status.code(), String::from_utf8(output.stderr).expect("text"))
}

#[test]
fn the_program_ends_with_one_line_if_its_configuration_is_unusable() {
    let at = "127.0.0.1:9".parse().expect("an address");
    let folder = common::write_configuration("refused", &[at], at, 1, 75);
    let text = std::fs::read_to_string(folder.join("config.json")).expect("read");
    let good: Value = serde_json::from_str(&text).expect("JSON");
    let cases = [
        ("/settings/Limits/MostTries", json!(0), "Limits.MostTries"),
        ("/settings/Zone", json!(300), "Zone"),
        ("/settings/PeriodS", json!(5), "PeriodS"),
        ("/settings/Classes/1/Name", json!("overlap-check"), "Classes[1].Name"),
        ("/limits/sockets", json!(47), "limits.sockets"),
        ("/limits", json!({"memory_mb": 15.5}), "limits.memory_mb"),
        ("/seed", json!("xyz"), "seed"),
        ("/seed", json!("11112222333344445"), "seed"),
        ("/listen", json!("nowhere"), "RELAY_LISTEN"),
        ("/listen", json!("192.0.2.1:1"), "192.0.2.1:1"),
        ("/discovery", json!("host:1"), "RELAY_DISCOVERY"),
        ("/known", json!([]), "configuration"),
    ];
    for (pointer, value, expected) in cases {
        let mut config = good.clone();
        *config.pointer_mut(pointer).expect("an existing key") = value;
        let (code, stderr) = run_program(&folder, config.to_string().as_bytes());
        assert!(
            code == Some(1) && stderr.contains(expected) && stderr.lines().count() == 1,
            "{pointer}: {code:?} {stderr}"
        );
    }
    for config in [&b"\xff\xfe{}"[..], b"", b"{}", b"[1]", b"{\"settings\":{}}"] {
        let (code, stderr) = run_program(&folder, config);
        assert!(code == Some(1) && stderr.lines().count() == 1, "{config:?}: {code:?} {stderr}");
    }
}
