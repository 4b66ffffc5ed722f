//! A founded cluster, with its ticks spread over a tick's time.
use super::super::links::SECOND;
use super::*;
use marlgap::cluster::consensus_log::Identity;
use marlgap::cluster::{Member, MemberId};

/// Each disk is another one.
pub(super) fn disk(i: usize, life: u64) -> u64 {
    (life << 32) | (i as u64 + 1)
}

/// The seat of a member: its name, zone and address are as long as an operator's would be.
pub fn seat(i: usize) -> Voter {
    let place = Place::of(i);
    let name = format!("coordinator-{i:04}");
    let id = MemberId::new(&name, 1);
    let zone = format!("region-{}-zone-{:02}", place.region, place.zone).as_str().into();
    let address = ([10, place.zone as u8, (i >> 8) as u8, i as u8], 7400).into();
    Voter { member: Member { id, zone, address }, disk_id: disk(i, 1) }
}

impl Members {
    /// Members that found together: the program draws the voters from all of them.
    pub fn founded(count: usize, seed: u64, loss: u64, limits: Limits) -> Members {
        let seats: Vec<Voter> = (0..count).map(seat).collect();
        let cluster = seed | 1;
        let (stored, broken) = match StoredLog::bootstrap(cluster, seats.clone()) {
            Ok(stored) => (stored, None),
            Err(e) => (StoredLog::joining(cluster), Some(e.to_string())),
        };
        let node = |(i, seat): (usize, Voter)| Hollow {
            seat,
            place: Place::of(i),
            disk: stored.clone(),
            log: None,
            state: (0, 0),
            traffic: Traffic::default(),
            life: 0,
        };
        let names = seats.iter().enumerate().map(|(i, s)| (s.member.id.name.clone(), i)).collect();
        let mut members = Members {
            nodes: seats.into_iter().enumerate().map(node).collect(),
            links: Links::new(seed, loss),
            changes: Vec::new(),
            agreed: BTreeMap::new(),
            ledger: BTreeMap::new(),
            queue: Queue::new(),
            names,
            limits,
            cluster,
            lives: 1,
            admits: true,
            waiting: Vec::new(),
            refused_snapshots: (0, 0),
            snapshots: (0, 0),
            refused: BTreeMap::new(),
            leaders: 0,
            broken,
        };
        for i in 0..count {
            members.begin(i);
            members.queue.later(TICK * (i as Micros + 1) / count as Micros, Event::Tick(i));
        }
        members.queue.later(ASK, Event::Ask);
        members
    }

    /// Founded, led, and quiet for a while.
    pub fn led(count: usize, seed: u64, loss: u64) -> Members {
        let mut members = Members::founded(count, seed, loss, Limits::default());
        let led = members.run_until(60 * SECOND, |m| m.leader().is_some());
        if !led && members.broken.is_none() {
            members.broken = Some("no leader within a minute".into());
        }
        members.run(3 * SECOND);
        members
    }

    pub(super) fn begin(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        let me = Identity { name: node.seat.member.id.name.clone(), disk_id: node.seat.disk_id };
        node.state = (0, 0);
        node.life += 1;
        let begun = Instant::now();
        match ConsensusLog::new(me, node.disk.clone(), self.limits.clone()) {
            Ok(log) => node.log = Some(log),
            Err(e) => self.broken = Some(format!("member {i} does not start: {e}")),
        }
        self.act(i, begun);
    }
}
