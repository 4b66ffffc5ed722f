//! Plans of large streams, and of streams drawn at random.
use marlgap::balancer::interface::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::class;
use super::world::Plan;

pub const COLD: ColdRule = ColdRule { from: 0.2, ramp: 6.0, multiple: 1.5, after: 1.0 };

/// Half the parts of a wide query at a thousand servers, a hundred cells of ten.
pub fn base() -> Plan {
    let settings = Settings {
        classes: vec![class()],
        cells: 100,
        reach: 2,
        reports: Reports::Inline,
        round: 0.01,
        most_tries: 4,
        retry_after: Some(2.0),
        ..Settings::default()
    };
    Plan {
        settings,
        servers: 1000,
        zones: 10,
        queries: 8.0,
        parts: (300, 410),
        service: 0.02,
        faults: 0.001,
        churn: 6.0,
        rooms: 0.0,
        stalls: 0.0,
        left: 0.0,
        reused: 0.0,
        deadly: 0.0,
        streamed: 0.0,
        drops: 0.0,
        jitter: 0.0,
        reaps: false,
        full: 20,
        burst: 1.0,
    }
}

/// A plan drawn at random: every setting and every mishap, each often off.
pub fn drawn(seed: u64) -> Plan {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xd4a3);
    let mut below = move |n: u32| rng.next_u32() % n;
    let mut plan = base();
    let mut often = |rates: [f64; 4]| rates[below(4) as usize];
    plan.churn = often([0.0, 1.0, 6.0, 30.0]);
    plan.faults = often([0.0, 0.002, 0.01, 0.03]);
    plan.rooms = often([0.0, 0.0, 0.1, 0.4]);
    plan.stalls = often([0.0, 0.0, 0.1, 0.3]);
    plan.left = often([0.0, 0.0, 0.1, 0.3]);
    plan.reused = often([0.0, 0.0, 0.0, 0.1]);
    plan.deadly = often([0.0, 0.0, 0.01, 0.05]);
    plan.streamed = often([0.0, 0.0, 0.1, 0.5]);
    plan.drops = often([0.0, 0.0, 0.2, 0.6]);
    plan.jitter = often([0.0, 0.0, 0.1, 0.3]);
    plan.queries = often([2.0, 10.0, 30.0, 60.0]);
    plan.service = often([0.01, 0.02, 0.05, 0.1]);
    plan.burst = often([1.0, 1.0, 3.0, 6.0]);
    plan.reaps = often([0.0, 0.0, 0.0, 1.0]) > 0.0;
    plan.full = often([4.0, 8.0, 12.0, 40.0]) as usize;
    plan.servers = often([12.0, 24.0, 80.0, 300.0]) as u64;
    plan.zones = often([1.0, 2.0, 4.0, 16.0]) as u8;
    plan.parts = (1, often([1.0, 4.0, 20.0, 60.0]) as u64);
    let settings = &mut plan.settings;
    settings.round = often([0.005, 0.01, 0.02, 0.03]);
    settings.cells = often([1.0, 3.0, 6.0, 12.0]) as u32;
    settings.reach = often([1.0, 2.0, 2.0, 3.0]) as u32;
    settings.per_call = often([1.0, 1.0, 1.0, 4.0]) as u32;
    settings.coordinators = often([1.0, 1.0, 2.0, 5.0]) as u32;
    settings.most_tries = often([1.0, 2.0, 4.0, 6.0]) as u32;
    settings.marks_retry = often([0.0, 0.0, 0.0, 1.0]) > 0.0;
    settings.cancel = often([0.0, 1.0, 1.0, 1.0]) > 0.0;
    settings.second_copies = often([0.0, 1.0, 1.0, 1.0]) > 0.0;
    settings.probes = often([0.0, 1.0, 1.0, 1.0]) > 0.0;
    settings.retry_after = Some(2.0).filter(|_| often([0.0, 1.0, 1.0, 1.0]) > 0.0);
    settings.zone = ZoneId(often([0.0, 0.0, 1.0, 3.0]) as u8);
    settings.reports = match often([0.0, 0.0, 1.0, 2.0]) as u32 {
        0 => Reports::Inline,
        1 => Reports::OnProbe,
        _ => Reports::Off,
    };
    let ramp = often([0.0, 0.0, 3.0, 12.0]);
    settings.cold = (ramp > 0.0).then_some(ColdRule { ramp, ..COLD });
    let free = often([-1.0, -1.0, 2.0, 10.0]);
    settings.budget =
        (free >= 0.0).then_some(Budget { free, share: 0.1, window: often([1.0, 3.0, 5.0, 9.0]) });
    if often([0.0, 0.0, 0.0, 1.0]) > 0.0 {
        settings.discovery = Discovery::Ask { within: 10.0 };
    }
    let kinds = 1 + often([0.0, 0.0, 1.0, 2.0]) as usize;
    settings.classes = (0..kinds)
        .map(|_| Class {
            need: often([0.7, 1.0, 1.0, 1.0]),
            floor: often([0.3, 0.6, 1.0, 1.0]),
            aim: often([0.3, 0.6, 1.0, 1.0]),
            late_worth: often([0.0, 0.3, 0.3, 0.3]),
            second_step: often([0.0, 0.0, 1.0, 3.0]) as u32,
            copies: often([0.0, 1.0, 1.0, 1.0]) > 0.0,
            effect: match often([0.0, 0.0, 0.0, 1.0]) as u32 {
                0 => Effect::Safe,
                _ => Effect::Keyed { window: 0.8 },
            },
            ..class()
        })
        .collect();
    if often([0.0, 0.0, 0.0, 1.0]) > 0.0 {
        settings.tenants = vec![Tenant { quota: 2.0 }, Tenant { quota: 20.0 }];
        settings.over_share_worth = 0.2;
    }
    plan
}
