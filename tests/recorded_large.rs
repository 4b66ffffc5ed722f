//! Recorded streams of events at large sizes, and of many plans drawn at random: a round that goes by what
//! happened decides as one that went through everything did. The hashes are those of the module at the commit
//! before its rounds were made so (41cf648); `tests/recorded.rs` says how a stream comes about.
use std::hash::Hasher;

use marlgap::interface::*;

mod common;
use common::class;
#[path = "recorded/plans.rs"]
mod plans;
#[path = "recorded/world.rs"]
mod world;
use plans::{base, drawn, COLD};
use world::{Plan, World};

/// Name, rounds, the hash of all actions as recorded, and how the plan differs from the common one.
type Stream = (&'static str, u32, u64, fn(&mut Plan));
const LARGE: &[Stream] = &[
    ("wide, cold rule", 1000, 0xc3d6_31e4_8eec_e7d6, |p| p.settings.cold = Some(COLD)),
    ("wide, nothing goes wrong", 600, 0x58cc_ba50_f1fb_873d, |p| (p.churn, p.faults) = (0.0, 0.0)),
    ("partial, second step, probes, zones lost", 800, 0x8aef_4435_81cd_c060, |p| {
        let part = Class { need: 0.9, floor: 0.5, late_worth: 0.0, second_step: 10, ..class() };
        (p.settings.classes, p.settings.reports, p.settings.probes) = (vec![part], Reports::OnProbe, true);
        (p.rooms, p.zones) = (0.3, 25);
    }),
    ("eleven thousand, no reports, asked for the list", 500, 0x7e60_0d6e_f91d_5849, |p| {
        (p.servers, p.settings.cells, p.zones, p.churn, p.queries) = (11_000, 410, 16, 60.0, 4.0);
        (p.settings.reports, p.settings.discovery) = (Reports::Off, Discovery::Ask { within: 10.0 });
    }),
    ("eleven thousand, cold rule, stalls", 500, 0x11d1_8858_0159_183f, |p| {
        (p.servers, p.settings.cells, p.zones, p.churn, p.queries) = (11_000, 410, 16, 60.0, 4.0);
        (p.settings.cold, p.stalls) = (Some(COLD), 0.2);
    }),
    ("overload, tenants, told budget", 800, 0x8d4e_6520_7966_5ef6, |p| {
        p.settings.tenants = vec![Tenant { quota: 1.0 }, Tenant { quota: 4.0 }, Tenant { quota: f64::MAX }];
        p.settings.budget = Some(Budget { free: 2.0, share: 0.1, window: 3.0 });
        (p.settings.over_share_worth, p.queries, p.burst, p.service) = (0.2, 12.0, 4.0, 0.1);
    }),
    ("deadly, streamed, left, numbers used again", 800, 0x9687_fc78_c782_4cc2, |p| {
        let keyed = Class { effect: Effect::Keyed { window: 0.8 }, ..class() };
        (p.settings.classes, p.deadly, p.streamed, p.left) = (vec![keyed, class()], 0.1, 0.2, 0.2);
        (p.reused, p.drops, p.churn) = (0.1, 0.5, 20.0);
    }),
];

/// How many plans are drawn, and the hash of each as recorded.
const DRAWN: &[u64] = &[
    0x71db_740f_0476_d6ed,
    0x0f76_1a73_bb01_8d00,
    0xbbf4_b163_c33a_3f1b,
    0x954a_e6f0_87a0_83a8,
    0xb0c9_3393_1fa6_9e42,
    0x469a_5312_85e4_a612,
    0x997d_b7fc_d9a6_e753,
    0x2fda_7772_f91e_fbe7,
    0x7fa3_06e0_7080_43b4,
    0xa6f6_b695_ddb4_0a95,
    0x4226_d259_f815_f84f,
    0xc5c8_1051_8032_09aa,
    0xb5df_836b_e4c7_5c88,
    0xcc46_b73a_a2ed_d6a7,
    0x091b_24cf_f46e_5386,
    0x6869_f307_0b11_181a,
    0x43a5_9643_8fcf_9057,
    0x7ba0_4eb1_d926_ace9,
    0xddc4_8b69_e5a4_d06a,
    0x91d0_5595_02f7_0a7b,
    0x1dc5_2be5_0c84_6e86,
    0xf3a1_3e49_b258_7d6c,
    0xbcb7_cd52_d855_0804,
    0x3006_e6d9_ddf8_5bcd,
    0x6dc3_c918_f1db_b76e,
    0x48e8_144a_abad_b741,
    0xdd23_518a_2312_01d2,
    0xcb9e_1db8_47f4_7f83,
    0x5779_c07f_a056_36ca,
    0xb2ba_ee9e_686d_acd9,
    0xe938_b789_b02a_14d0,
    0x93e4_5901_c58c_8e95,
    0xd5ad_a1dc_3f62_014f,
    0x28b7_5330_6731_685e,
    0x6509_8244_17a6_b5f9,
    0xfc4e_bb1b_3120_06b5,
    0x3673_4b62_bc9e_3935,
    0x7737_21d5_e105_a763,
    0x51ce_7283_3383_c1e7,
    0x7475_ade6_c835_a075,
    0xa936_23bd_836a_b9fd,
    0xcc4b_62a6_fcb8_cd98,
    0xa655_6e62_735a_b4f6,
    0x0ce7_0d19_0b79_5db7,
    0xc7e1_8974_7c9a_f70a,
    0x7d06_08b2_93d4_8ea1,
    0xace8_685c_8f41_a944,
    0x3a0f_aa57_2444_f220,
    0x6756_d709_019a_e28b,
    0x8a4f_d041_e4b8_74dd,
    0x32ac_ee7d_9d2e_349d,
    0x3be0_00cf_4801_fef1,
    0xf051_ced5_f314_94a0,
    0x4726_c020_ff89_5663,
    0xbc25_67d3_ebf6_cb17,
    0xa950_eabb_f1ff_ec3a,
    0xbdd2_46e8_8f74_d275,
    0x6620_f6ca_b026_0711,
    0x17e4_b468_c28e_9bdf,
    0x6b30_2cf2_70e8_a1d2,
    0x523d_f808_51cc_df75,
    0xab92_16bb_66a0_8477,
    0x601c_9d0b_6d0e_ef00,
    0xc6cb_481e_975d_4575,
];

fn run(plan: Plan, seed: u64, rounds: u32) -> (u64, [u32; 9]) {
    let mut world = World::new(plan, seed);
    (0..rounds).for_each(|_| world.round());
    (world.hash.finish(), world.seen)
}

#[test]
fn large_streams_go_as_recorded() {
    let mut other = Vec::new();
    for (n, (name, rounds, recorded, differ)) in LARGE.iter().enumerate() {
        let mut plan = base();
        differ(&mut plan);
        let (hash, seen) = run(plan, n as u64 + 1, *rounds);
        println!("{hash:#018x} {seen:?} {name}");
        assert!(seen[0] > 500 && seen[2] + seen[3] > 5, "{name}: little happens, {seen:?}");
        if hash != *recorded {
            other.push(format!("{name}: {hash:#018x}"));
        }
    }
    assert!(other.is_empty(), "these streams went otherwise than recorded: {other:#?}");
}

#[test]
fn drawn_streams_go_as_recorded() {
    let (mut all, mut other) = ([0; 9], Vec::new());
    for (n, recorded) in DRAWN.iter().enumerate() {
        let (hash, seen) = run(drawn(n as u64), n as u64 + 100, 1500);
        println!("    {hash:#018x}, // {seen:?}");
        all.iter_mut().zip(seen).for_each(|(all, n)| *all += n);
        if hash != *recorded {
            other.push(format!("{n}: {hash:#018x}"));
        }
    }
    assert!(all.iter().all(|n| *n > 10), "some kind of action is hardly met: {all:?}");
    assert!(other.is_empty(), "these plans went otherwise than recorded: {other:#?}");
}
