//! Ranking of the owners of a service by rendezvous hashing over the visible members.
//!
//! Guards against nodes that see the same members but rank owners differently, against services that change their owner
//! without need, and against partitions that together exceed the shared limits.

use {
    dragonflystep_dispatch::{Member, NodeName, Visibility, partition_limit_share, rank_owners},
    proptest::prelude::*,
};

fn members(count: usize) -> Vec<Member> {
    let member = |index: usize| Member {
        node: NodeName::from(format!("node-{index}")),
        weight: 1.0,
    };
    (0..count).map(member).collect()
}

proptest! {
    #[test]
    fn nodes_that_see_the_same_members_rank_owners_alike(count in 1_usize..40, service in "[a-z]{1,8}") {
        let all = members(count);
        let mut reversed = all.clone();
        reversed.reverse();
        prop_assert_eq!(rank_owners(&service, &all), rank_owners(&service, &reversed));
    }

    #[test]
    fn removing_a_member_keeps_the_order_of_the_others(
        count in 2_usize..40, removed in 0_usize..40, service in "[a-z]{1,8}",
    ) {
        let all = members(count);
        let removed = removed % count;
        let before = rank_owners(&service, &all);
        let remaining: Vec<Member> = all.iter().enumerate()
            .filter(|(index, _)| *index != removed).map(|(_, member)| member.clone()).collect();
        let expected: Vec<NodeName> = before.iter()
            .filter(|node| **node != all[removed].node).cloned().collect();
        prop_assert_eq!(rank_owners(&service, &remaining), expected);
    }

    #[test]
    fn partitions_together_use_at_most_an_eighth_more_than_the_limits(
        partitions in proptest::collection::vec(1_usize..12, 1..8),
    ) {
        let known: usize = partitions.iter().sum();
        let share = |visible, refusing| {
            partition_limit_share(Visibility { visible, known, refusing })
        };
        let silent: f64 = partitions.iter().map(|visible| share(*visible, 0)).sum();
        prop_assert!(silent <= 1.125 + 1e-9, "{}", silent);
        let resetting: f64 = partitions.iter().map(|visible| share(*visible, known - visible)).sum();
        prop_assert!(resetting <= 1.125 + 1e-9, "{}", resetting);
        // The first two reset each other's connections, and nothing arrives from the others.
        let neighbours: usize = partitions.iter().take(2).sum();
        let mixed: f64 = partitions.iter().enumerate().map(|(index, visible)| {
            let refusing = if index < 2 { neighbours - visible } else { 0 };
            share(*visible, refusing)
        }).sum();
        prop_assert!(mixed <= 1.125 + 1e-9, "{}", mixed);
    }

    #[test]
    fn nodes_that_are_left_use_the_share_of_their_number_when_the_others_have_ended(
        left in 1_usize..40, ended in 1_usize..40,
    ) {
        let known = left + ended;
        let share = partition_limit_share(Visibility { visible: left, known, refusing: ended });
        prop_assert!(share >= left as f64 / known as f64 - 1e-9, "{}", share);
    }
}

#[test]
fn large_vms_own_nearly_all_services() {
    let mut all = members(60);
    for member in &mut all {
        member.weight = 0.12_f64.powi(5);
    }
    for index in 0..6 {
        all.push(Member {
            node: NodeName::from(format!("large-{index}")),
            weight: 0.5_f64.powi(5),
        });
    }
    let owned_by_large = (0..200)
        .filter(|service| rank_owners(&format!("s{service}"), &all)[0].starts_with("large"))
        .count();
    assert!(owned_by_large > 185, "{owned_by_large} of 200");
}
