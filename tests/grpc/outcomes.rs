//! What becomes of a call whose server answers with a status, or breaks before or behind its first message.
use marlgap::net::grpc::status::Code;

use crate::rig::{new_rig, ONCE, SAFE};

/// What a status that a server gives before anything else becomes for the client, and how often the call is tried:
/// where it may run again, and where it must not.
const TABLE: [(Code, Code, std::ops::RangeInclusive<usize>, Code); 17] = {
    use Code::*;
    [
        (Ok, Ok, 1..=1, Ok),
        (Cancelled, Unavailable, 2..=4, Cancelled),
        (Unknown, Unavailable, 2..=4, Unknown),
        (InvalidArgument, InvalidArgument, 1..=1, InvalidArgument),
        (DeadlineExceeded, Unavailable, 2..=4, DeadlineExceeded),
        (NotFound, NotFound, 1..=1, NotFound),
        (AlreadyExists, AlreadyExists, 1..=1, AlreadyExists),
        (PermissionDenied, PermissionDenied, 1..=1, PermissionDenied),
        (ResourceExhausted, Unavailable, 2..=4, ResourceExhausted),
        (FailedPrecondition, FailedPrecondition, 1..=1, FailedPrecondition),
        (Aborted, Aborted, 1..=1, Aborted),
        (OutOfRange, OutOfRange, 1..=1, OutOfRange),
        (Unimplemented, Unimplemented, 1..=1, Unimplemented),
        (Internal, Unavailable, 2..=4, Internal),
        (Unavailable, Unavailable, 2..=4, Unavailable),
        (DataLoss, Unavailable, 2..=4, DataLoss),
        (Unauthenticated, Unauthenticated, 1..=1, Unauthenticated),
    ]
};

#[test]
fn each_of_the_17_codes_has_its_outcome() {
    // The module spares repeats, by what it has taken lately: a program for a few codes each.
    let mut rig = new_rig("grpc_codes", 3, |_| {});
    for (n, (code, safe, attempts, once)) in TABLE.into_iter().enumerate() {
        if n % 3 == 2 {
            rig = new_rig("grpc_codes", 3, |_| {});
        }
        assert_eq!(code, Code::ALL[n]);
        // A server's own status is the answer, or is tried elsewhere; OK without its message is neither.
        let script = if code == Code::Ok { "ok:1:0".to_owned() } else { format!("status:{n}") };
        let messages = usize::from(code == Code::Ok);
        let id = format!("safe-{n}");
        let got = rig.call(SAFE, &id, &script);
        rig.judge(&id, &got, safe, messages, attempts);
        if safe == code && code != Code::Unavailable {
            assert_eq!(got.fields["x-from"], "standin", "the server's own words");
        } else {
            // Refused: when to come back, for clients that retry by themselves and in the details.
            assert_eq!(got.fields["grpc-retry-pushback-ms"], "2000", "{got:?}");
            assert!(got.fields.contains_key("grpc-status-details-bin"));
        }
        let id = format!("once-{n}");
        let got = rig.call(ONCE, &id, &script);
        rig.judge(&id, &got, once, messages, 1..=1);
        assert!(!got.fields.contains_key("grpc-retry-pushback-ms"), "{got:?}");
        // Behind data the server's status is the call's, whatever it is, and nothing is tried again.
        let id = format!("late-{n}");
        let got = rig.call("/t.S/Down", &id, &format!("late:2:{n}"));
        rig.judge(&id, &got, code, 2, 1..=1);
        // A first attempt that fails leaves no trace.
        if safe != code || code == Code::Unavailable {
            let id = format!("again-{n}");
            let got = rig.call("/t.S/Down", &id, &format!("status:{n}|ok:3:0"));
            rig.judge(&id, &got, Code::Ok, 3, 2..=2);
            let seen = rig.record.of(&id);
            assert_ne!(seen[0].server, seen[1].server, "tried elsewhere");
        }
    }
}

#[test]
fn what_breaks_before_its_first_message_is_tried_again_and_never_ok() {
    let mut rig = new_rig("grpc_breaks", 3, |_| {});
    let mut cases: Vec<String> =
        ["http:503", "http:404", "ctype:1:0", "badstatus", "notrailers:0", "cut:0", "gone", "ok:0:0"]
            .map(String::from)
            .into();
    cases.extend((0..=13).map(|code| format!("rst0:{code}")));
    cases.extend((0..=13).map(|code| format!("rst:0:{code}")));
    for (n, case) in cases.iter().enumerate() {
        if n % 4 == 3 {
            rig = new_rig("grpc_breaks", 3, |_| {});
        }
        let id = format!("first-{n}");
        let got = rig.call(SAFE, &id, &format!("{case}|ok:1:0"));
        rig.judge(&id, &got, Code::Ok, 1, 2..=3);
        // Where a call must not run twice, only what proves that it has not run is tried again.
        let id = format!("once-{n}");
        let got = rig.call(ONCE, &id, &format!("{case}|ok:1:0"));
        let refused = case == "rst0:7";
        assert_eq!(rig.record.of(&id).len(), if refused { 2 } else { 1 }, "{case}: {got:?}");
        assert_eq!(got.code() == 0, refused, "{case}: {got:?}");
    }
}

#[test]
fn what_breaks_behind_its_first_message_ends_in_one_status_and_is_not_tried_again() {
    use Code::*;
    let rig = new_rig("grpc_halfway", 3, |_| {});
    let mut cases = vec![
        ("notrailers:2".to_owned(), Unknown),
        ("cut:2".to_owned(), Internal),
        ("drop:2".to_owned(), Unavailable),
    ];
    let resets = [
        Internal,
        Internal,
        Internal,
        Internal,
        Internal,
        Unknown,
        Internal,
        Unavailable,
        Cancelled,
        Internal,
        Internal,
        ResourceExhausted,
        PermissionDenied,
        Unknown,
    ];
    cases.extend(resets.iter().enumerate().map(|(n, code)| (format!("rst:2:{n}"), *code)));
    for (n, (case, code)) in cases.iter().enumerate() {
        let id = format!("half-{n}");
        let got = rig.call("/t.S/Down", &id, &format!("{case}|ok:5:0"));
        rig.judge(&id, &got, *code, 2, 1..=1);
        assert!(got.reset.is_none(), "a status, no reset: {got:?}");
    }
    // GOAWAY in the middle of a call lets it end, and the next one goes on another connection.
    let got = rig.call("/t.S/Down", "leaving", "goaway:2");
    rig.judge("leaving", &got, Ok, 3, 1..=1);
    let got = rig.call("/t.S/Down", "after", "ok:1:0");
    rig.judge("after", &got, Ok, 1, 1..=1);
    // A method with one answer has one.
    let got = rig.call(SAFE, "two", "ok:2:0");
    assert_eq!(got.code(), Internal as u32, "{got:?}");
}
