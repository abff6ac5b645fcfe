//! What control costs a node at the size of two years: reducers with large state in virtual time.
//!
//! `cargo run --release -p dragonflystep_core --example capacity -- nodes 64` plays a system of that many
//! nodes with a change of the catalogue every 10 s; `-- catalogue` weighs the whole catalogue; `-- start` counts what a
//! node reads that starts alone, with and without snapshots.

#![allow(
    clippy::print_stdout,
    reason = "the figures are the example's purpose and go to the terminal"
)]

#[path = "../tests/control_world/mod.rs"]
mod control_world;

use {
    control_world::{Costs, World, group, id, seconds},
    dragonflystep_core::{
        Event, Tuning,
        catalogue::{
            Catalogue, CatalogueChange, ClientAccount, Edit, Objective, Service, ServiceKind,
            TierSettings, Upstream, UpstreamLimits, UpstreamState,
        },
        membership::vm_list_interval,
    },
    std::{
        collections::BTreeSet,
        env, fs,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Sizes of two years ahead.
const NODES: usize = 330;
const UPSTREAMS: usize = 2_100;
const GROUPS: usize = 525;
const ACCOUNTS: usize = 20_000;
const SERVICES: usize = 4;
const TIERS: u8 = 4;

const CHANGES: u64 = 3;
const CHANGE_INTERVAL_S: f64 = 10.0;
/// Most edits of one change.
const MOST_EDITS: usize = 1_000;
/// VMs in the list at the full size, and those that leave one after the other.
const LISTED_VMS: usize = 2_430;
const LEAVING_VMS: usize = 5;
/// Changes before a start.
const START_CHANGES: u64 = 10_000;
const FIRST_LIMIT_S: f64 = 120.0;

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("catalogue") => weigh_catalogue(),
        Some("vms") => spread_vms(
            arguments
                .get(1)
                .and_then(|number| number.parse().ok())
                .unwrap_or(8),
        ),
        Some("start") => {
            start_alone(u64::MAX);
            start_alone(Tuning::default().snapshot_every);
        }
        _ => play(
            arguments
                .get(1)
                .and_then(|number| number.parse().ok())
                .unwrap_or(32),
        ),
    }
}

/// Plays nodes with their share of groups, upstreams and accounts.
fn play(nodes: usize) {
    let of = |size: usize| size * nodes / NODES;
    let (groups, upstreams, accounts) = (of(GROUPS), of(UPSTREAMS), of(ACCOUNTS));
    let mut world = World::new(nodes, 1);
    world.run_for(seconds(4.0));
    let started_at = world.now;
    let first = edits(upstreams, groups, accounts);
    let parts = first.chunks(MOST_EDITS);
    let versions = parts.len() as u64;
    for (version, part) in (0..).zip(parts) {
        world.change(&id(1), 1_000 + version, version, part.to_vec());
        let wanted = [version + 1].into();
        let taken = world.run_until(seconds(FIRST_LIMIT_S), |world| world.versions() == wanted);
        taken.expect("the first catalogue comes into force everywhere");
    }
    let settled = world.run_until(seconds(FIRST_LIMIT_S), |world| {
        world.all_granted(groups, None)
    });
    settled.expect("all groups find a broker");
    let settled = world.now - started_at;
    world.run_for(seconds(30.0));

    report(&mut world, nodes, "idle", 0, versions);
    report(&mut world, nodes, "a change every 10 s", CHANGES, versions);
    println!(
        "{nodes} nodes, {groups} groups, {upstreams} upstreams, {accounts} accounts: every group granted \
         {:.1} s after the first catalogue was sent",
        settled.as_secs_f64()
    );
}

fn report(world: &mut World, nodes: usize, what: &str, changes: u64, first_version: u64) {
    world.costs = Costs::default();
    world.reduce_time = Duration::ZERO;
    let mut slowest = Duration::ZERO;
    for change in 0..CHANGES {
        let left = if changes == 0 {
            CHANGE_INTERVAL_S
        } else {
            let version = first_version + change;
            world.change(
                &id(1),
                100 + change,
                version,
                vec![upstream(0, 1, 10 + change as u32)],
            );
            let wanted = [version + 1].into();
            let took = world.run_until(seconds(CHANGE_INTERVAL_S), |world| {
                world.versions() == wanted
            });
            let took = took.expect("the change is in force everywhere in time");
            slowest = slowest.max(took);
            CHANGE_INTERVAL_S - took.as_secs_f64()
        };
        world.run_for(seconds(left));
    }
    let length = CHANGES as f64 * CHANGE_INTERVAL_S;
    let node_seconds = nodes as f64 * length;
    let costs = world.costs;
    println!(
        "{nodes} nodes, {what}: reducer {:.4} % of a core, {:.2} messages/s sent, {:.0} B/s, for each node; \
         platform {:.1} writes/s, {:.1} reads/s; slowest change in force {:.2} s",
        world.reduce_time.as_secs_f64() / node_seconds * 100.0,
        costs.messages as f64 / node_seconds,
        (costs.message_bytes + costs.table_bytes) as f64 / node_seconds,
        costs.table_writes as f64 / length,
        costs.table_reads as f64 / length,
        slowest.as_secs_f64()
    );
}

/// Weighs one whole catalogue in memory and as text, and times one change.
fn weigh_catalogue() {
    let change = |version, edits| CatalogueChange {
        version,
        token: "capacity".into(),
        author: "capacity".into(),
        reason: "capacity".into(),
        edits,
    };
    // It lives until the end, so that the one that is read takes no memory that it left.
    let first = Catalogue::default().with_change(&change(1, edits(UPSTREAMS, GROUPS, ACCOUNTS)));
    let text = serde_json::to_string(&first).expect("a catalogue can be written");
    let before = resident_kib();
    let started_at = Instant::now();
    let catalogue: Catalogue = serde_json::from_str(&text).expect("it was written just now");
    let read_for = started_at.elapsed();
    let after = resident_kib();
    let second = change(2, vec![upstream(0, 1, 9)]);
    let started_at = Instant::now();
    let next = catalogue.with_change(&second);
    let changed_for = started_at.elapsed();
    let with_both = resident_kib();
    assert_eq!(first.accounts.len(), next.accounts.len());
    println!(
        "catalogue of {UPSTREAMS} upstreams and {ACCOUNTS} accounts: {} bytes of JSON, read in {:.1} ms, \
         {} KiB more resident memory; version {} made in {:.2} ms with {} KiB more",
        text.len(),
        read_for.as_secs_f64() * 1000.0,
        after.saturating_sub(before),
        next.version,
        changed_for.as_secs_f64() * 1000.0,
        with_both.saturating_sub(after)
    );
}

/// Lets nodes read a VM list that grows with them, and measures what that costs and how fast a sign is everywhere.
fn spread_vms(nodes: usize) {
    let mut world = World::new(nodes, 1);
    world.run_for(seconds(20.0));
    world.change(&id(1), 0, 0, edits(LEAVING_VMS, 1, 0));
    world.run_for(seconds(40.0));
    let names =
        (0..LISTED_VMS * nodes / NODES).map(|number| Arc::from(format!("vm-worker-{number:04}")));
    let mut live: BTreeSet<Arc<str>> = names.collect();
    let list_bytes: usize = live.iter().map(|name| name.len() + 3).sum();
    let mut next_at: Vec<Duration> = (0..nodes).map(|_| world.now).collect();
    let mut readings: Vec<u64> = vec![0; nodes];
    let (mut leaving, mut delays) = (BTreeSet::new(), Vec::new());
    let (started_at, mut last_sign) = (world.now, world.now);
    let mut waits_since = None;
    while delays.len() < LEAVING_VMS {
        world.run_for(Duration::from_millis(20));
        if waits_since.is_none() && world.now >= last_sign + seconds(2.0) {
            let name: Arc<str> = format!("vm-worker-{:04}", delays.len()).into();
            live.remove(&name);
            leaving.insert(name);
            (waits_since, last_sign) = (Some(world.now), world.now);
        }
        for number in 0..nodes {
            if world.now < next_at[number] {
                continue;
            }
            let node = id(number + 1);
            readings[number] += 1;
            next_at[number] = world.now + vm_list_interval(nodes, &node, readings[number]);
            let (live, leaving) = (live.clone(), leaving.clone());
            world.deliver(&node, Event::VmListRead { live, leaving });
        }
        let knows =
            |node: &control_world::Node| node.state.view.leaving_upstreams.len() > delays.len();
        if let Some(since) = waits_since
            && world.nodes.values().all(knows)
        {
            delays.push((world.now - since).as_secs_f64());
            (waits_since, last_sign) = (None, world.now);
        }
    }
    let length_s = (world.now - started_at).as_secs_f64();
    let per_node_s = readings.iter().sum::<u64>() as f64 / nodes as f64 / length_s;
    println!(
        "VM list with {nodes} nodes: {list_bytes} bytes, {:.2} readings/s in all, {:.2} KB/s for each node; \
         {} messages for {LEAVING_VMS} signs; a sign is everywhere after {:.2} s at the longest of {:.2?}",
        per_node_s * nodes as f64,
        per_node_s * list_bytes as f64 / 1000.0,
        world.costs.vm_messages,
        delays.iter().copied().fold(0.0, f64::max),
        delays
    );
}

/// Starts a node alone after many changes of a catalogue of full size, and counts what it reads.
fn start_alone(snapshot_every: u64) {
    let tuning = Tuning {
        snapshot_every,
        ..Tuning::default()
    };
    let mut world = World::with_tuning(1, 1, tuning);
    world.run_for(seconds(4.0));
    for part in edits(UPSTREAMS, GROUPS, ACCOUNTS).chunks(MOST_EDITS) {
        world.commit_change(part.to_vec());
    }
    while (world.committed_at.len() as u64) < START_CHANGES {
        let version = world.committed_at.len();
        world.commit_change(vec![upstream(
            version % UPSTREAMS,
            1 + version % UPSTREAMS % GROUPS,
            9,
        )]);
        if (version as u64 + 1).is_multiple_of(snapshot_every) {
            let puts = world.objects.puts;
            world.run_until(seconds(FIRST_LIMIT_S), |world| world.objects.puts > puts);
            world.run_for(seconds(60.0));
        }
    }
    world.kill(&id(1));
    let (before, gets, bytes) = (world.costs, world.objects.gets, world.objects.bytes_read);
    world.start(1);
    let is_there = |world: &World| {
        let catalogue = &world.nodes[&id(1)].state.view.catalogue;
        catalogue.version == world.committed_at.len() as u64
    };
    let length = world.run_until(seconds(FIRST_LIMIT_S), is_there);
    println!(
        "start with {START_CHANGES} changes, a snapshot every {snapshot_every}: {} reads and scans of the table with {} KiB, \
         {} objects with {} KiB, in force after {:.2} s of virtual time",
        world.costs.table_reads - before.table_reads,
        (world.costs.table_bytes - before.table_bytes) / 1024,
        world.objects.gets - gets,
        (world.objects.bytes_read - bytes) / 1024,
        length
            .expect("the node comes to the newest version")
            .as_secs_f64()
    );
}

fn resident_kib() -> u64 {
    let text = fs::read_to_string("/proc/self/status").expect("the kernel tells of the process");
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().next());
    value
        .and_then(|value| value.parse().ok())
        .expect("resident memory is among it")
}

fn edits(upstreams: usize, groups: usize, accounts: usize) -> Vec<Edit> {
    let services = (0..SERVICES).map(service);
    let tiers = (0..TIERS).map(tier);
    let upstreams = (0..upstreams).map(|number| upstream(number, 1 + number % groups, 8));
    services
        .chain(tiers)
        .chain(upstreams)
        .chain((0..accounts).map(account))
        .collect()
}

fn service_name(number: usize) -> String {
    format!("model-{number}")
}

fn service(number: usize) -> Edit {
    Edit::PutService(Arc::new(Service {
        id: service_name(number).into(),
        kind: ServiceKind::Engine,
        overload_policy: Default::default(),
        model: Some(service_name(number).into()),
    }))
}

fn tier(rank: u8) -> Edit {
    Edit::PutTier(Arc::new(TierSettings {
        id: format!("tier-{rank}").into(),
        rank,
        default_deadline_ms: 60_000,
        objective: Objective {
            first_token_ms: 480,
            token_gap_ms: 45,
            good_share: 0.95,
        },
    }))
}

fn upstream(number: usize, group_number: usize, running_requests: u32) -> Edit {
    Edit::PutUpstream(Arc::new(Upstream {
        id: format!("worker-{number:04}").into(),
        service: service_name(group_number % SERVICES).into(),
        owner: "some-department".into(),
        class: "large-80g".into(),
        address: format!("10.{}.{}.7:8000", number / 250, number % 250).into(),
        data_centre: format!("dc-{}", group_number % 19).into(),
        group: group(group_number).into(),
        limits: UpstreamLimits {
            running_requests,
            held_tokens: Some(400_000),
        },
        state: UpstreamState::Active,
        checks_fencing: true,
        vm: Some(format!("vm-worker-{number:04}").into()),
    }))
}

fn account(number: usize) -> Edit {
    Edit::PutAccount(Arc::new(ClientAccount {
        id: format!("account-{number:05}").into(),
        key_sha256: format!("{number:064x}").into(),
        weight: 1,
        tiers: Vec::new(),
    }))
}
