//! Founding: what members say to each other before there is a log, and the set that they pin on their disks.
use marlgap::cluster::bootstrap::first_configuration::{
    Ballot, ConfigurationMessage, InitialMember, MessageKind,
};
use marlgap::cluster::bootstrap::{BootstrapMessage, BootstrapState, InitialMembers};
use marlgap::net::cluster::frames::{parse, Frame, Hello, VERSION};
use prost::Message as _;

use crate::fixture::{names, record, records, Records};
use crate::sample::{next_life, seat, seats, CLUSTER};

fn says() -> Vec<(&'static str, BootstrapMessage)> {
    let say = |number, stage| BootstrapMessage { voter: seat(number), state: stage };
    vec![
        ("say-empty", say(0, BootstrapState::Empty)),
        ("say-pinned", say(1, BootstrapState::Accepted(InitialMembers::new(seats(3))))),
        ("say-founded", say(2, BootstrapState::Bootstrapped(CLUSTER))),
    ]
}

fn found_records() -> Records {
    let says = says().into_iter().map(|(name, say)| (name.to_string(), say.encode()));
    let set = ("set".to_string(), InitialMembers::new(seats(3)).encode());
    says.chain([set]).collect()
}

#[test]
fn each_stage_that_a_member_says_is_read() {
    let golden = records("found.hex", found_records);
    assert_eq!(names(&golden), ["say-empty", "say-pinned", "say-founded", "set"]);
    for (name, say) in says() {
        let read = BootstrapMessage::decode(record(&golden, name)).expect(name);
        assert_eq!(read.voter.member.id.name, say.voter.member.id.name, "{name}");
        assert_eq!(read.voter.member.id.incarnation, say.voter.member.id.incarnation, "{name}");
        assert_eq!(read.voter.member.zone, say.voter.member.zone, "{name}");
        assert_eq!(read.voter.member.address, say.voter.member.address, "{name}");
        assert_eq!(read.voter.disk_id, say.voter.disk_id, "{name}");
        assert_eq!(read.state, say.state, "{name}");
        assert_eq!(read.encode(), record(&golden, name), "{name}");
    }
}

#[test]
fn a_pinned_set_is_read_and_gives_the_same_cluster() {
    let golden = records("found.hex", found_records);
    let set = InitialMembers::decode(record(&golden, "set")).expect("a set");
    assert_eq!(set.voters(), seats(3));
    assert_eq!(set.encode(), record(&golden, "set"));
    // The number of a cluster is kept on every disk of it: another build has to work out the same.
    assert_eq!(set.cluster_id("accra"), SET_CLUSTER);
}

const SET_CLUSTER: u64 = 9_022_134_833_960_559_442;

fn life(number: usize) -> InitialMember {
    let member = next_life(seat(number)).member;
    let (name, incarnation) = (member.id.name.to_string(), member.id.incarnation);
    InitialMember { name, incarnation, zone: member.zone.to_string() }
}

fn notes() -> Vec<(&'static str, MessageKind, ConfigurationMessage)> {
    let kinds = [
        ("note-asked", MessageKind::Query),
        ("note-propose", MessageKind::Propose),
        ("note-took", MessageKind::Accepted),
        ("note-holds", MessageKind::Rejected),
        ("note-formed", MessageKind::Decided),
    ];
    let note = |(n, (name, kind)): (usize, (&'static str, MessageKind))| {
        let n = n as u64;
        let round = Ballot { leader: 501 + n, number: 601 + n };
        let over = Ballot { leader: 701 + n, number: 801 + n };
        (
            name,
            kind,
            ConfigurationMessage {
                kind: kind.into(),
                ballot: round,
                superseded: over,
                members: vec![life(0), life(1)],
            },
        )
    };
    kinds.into_iter().enumerate().map(note).collect()
}

fn note_records() -> Records {
    notes().into_iter().map(|(name, _, note)| (name.to_string(), note.encode_to_vec())).collect()
}

#[test]
fn each_note_between_founding_members_is_read() {
    let golden = records("notes.hex", note_records);
    assert_eq!(names(&golden), ["note-asked", "note-propose", "note-took", "note-holds", "note-formed"]);
    for (number, (name, kind, note)) in notes().into_iter().enumerate() {
        let read = ConfigurationMessage::decode(record(&golden, name)).expect(name);
        assert_eq!(read.kind, number as i32, "{name}");
        assert_eq!(MessageKind::try_from(read.kind), Ok(kind), "{name}");
        assert_eq!(read.ballot, note.ballot, "{name}");
        assert_eq!(read.superseded, note.superseded, "{name}");
        assert_eq!(read.members, note.members, "{name}");
        assert_eq!(read.encode_to_vec(), record(&golden, name), "{name}");
    }
}

fn connection_frames() -> Vec<(&'static str, Frame)> {
    let member = seat(2).member;
    let hello = Hello {
        cluster: "accra".into(),
        version: VERSION,
        name: member.id.name.to_string(),
        incarnation: member.id.incarnation,
        zone: member.zone.to_string(),
    };
    let (_, _, note) = notes().swap_remove(1);
    vec![("frame-hello", Frame::Hello(hello)), ("frame-founding", Frame::Founding(note))]
}

fn connection_records() -> Records {
    connection_frames().into_iter().map(|(name, frame)| (name.to_string(), frame.bytes())).collect()
}

#[test]
fn a_hello_and_a_note_are_read_from_a_connection() {
    let golden = records("connection.hex", connection_records);
    assert_eq!(names(&golden), ["frame-hello", "frame-founding"]);
    for (name, frame) in connection_frames() {
        let bytes = record(&golden, name);
        let read = parse(bytes, bytes.len()).expect(name);
        assert_eq!(read, Some((frame, bytes.len())), "{name}");
        assert_eq!(read.map(|(frame, _)| frame.bytes()).as_deref(), Some(bytes), "{name}");
    }
}
