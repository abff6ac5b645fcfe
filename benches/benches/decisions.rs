//! Cost of a whole request on one node, from its receipt to the end of its answer, and of the node's periodic work.
//!
//! The system grows from 15 upstreams to 2,100, and from 5 accounts to 20,000; the cost of a request must not grow with
//! it.

use {
    criterion::{BenchmarkId, Criterion, criterion_group, criterion_main},
    dragonflystep_experiment::single_node::{SingleNode, Size},
    std::time::{Duration, Instant},
};

/// System sizes: the present size, ten times as many upstreams, and the size expected in two years, once with few
/// accounts and once with many.
const SIZES: [Size; 4] = [
    Size {
        upstreams: 15,
        accounts: 5,
    },
    Size {
        upstreams: 150,
        accounts: 5,
    },
    Size {
        upstreams: 2_100,
        accounts: 5,
    },
    Size {
        upstreams: 2_100,
        accounts: 20_000,
    },
];

fn whole_request(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("whole_request");
    group.measurement_time(Duration::from_secs(3));
    group.warm_up_time(Duration::from_secs(1));
    for size in SIZES {
        let mut node = SingleNode::settled(size);
        let name = format!("{}_upstreams_{}_accounts", size.upstreams, size.accounts);
        group.bench_function(BenchmarkId::from_parameter(name), |bencher| {
            // The periodic work for leases and groups is not part of a request, so it runs between the timed parts.
            bencher.iter_custom(|iterations| {
                let mut elapsed = Duration::ZERO;
                for _ in 0..iterations {
                    let start = Instant::now();
                    node.whole_request();
                    elapsed += start.elapsed();
                    node.catch_up();
                }
                elapsed
            });
        });
        assert!(
            node.finished() > 0,
            "no request was answered, so nothing was measured"
        );
    }
    group.finish();
}

/// The periodic work of one second on a node that holds all groups.
fn one_second_of_rounds(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("one_second_of_rounds");
    group.sample_size(10);
    for size in SIZES {
        let mut node = SingleNode::settled(size);
        let name = format!(
            "{}_upstreams_{}_accounts_{}_groups",
            size.upstreams,
            size.accounts,
            node.held_groups()
        );
        group.bench_function(BenchmarkId::from_parameter(name), |bencher| {
            bencher.iter(|| node.pass(Duration::from_secs(1)));
        });
    }
    group.finish();
}

#[allow(
    missing_docs,
    reason = "criterion_group! generates a public function without a doc comment"
)]
mod groups {
    use super::*;
    criterion_group!(benches, whole_request, one_second_of_rounds);
}

criterion_main!(groups::benches);
