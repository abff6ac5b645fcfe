//! Owners follow from the members that are seen, and change as little as possible.

use {
    dragonflystep_dispatch::{Member, NodeName, partition_limit_share, rank_owners},
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
    fn all_who_see_the_same_members_name_the_same_owner(count in 1_usize..40, service in "[a-z]{1,8}") {
        let listed = members(count);
        let mut reversed = listed.clone();
        reversed.reverse();
        prop_assert_eq!(rank_owners(&service, &listed), rank_owners(&service, &reversed));
    }

    #[test]
    fn a_member_that_goes_changes_the_owner_of_its_own_services_only(
        count in 2_usize..40, gone in 0_usize..40, service in "[a-z]{1,8}",
    ) {
        let all = members(count);
        let gone = gone % count;
        let before = rank_owners(&service, &all);
        let left: Vec<Member> = all.iter().enumerate()
            .filter(|(index, _)| *index != gone).map(|(_, member)| member.clone()).collect();
        let expected: Vec<NodeName> = before.iter()
            .filter(|node| **node != all[gone].node).cloned().collect();
        prop_assert_eq!(rank_owners(&service, &left), expected);
    }

    #[test]
    fn parts_that_do_not_see_each_other_share_at_most_an_eighth_beyond_one_majority(
        cuts in proptest::collection::vec(1_usize..12, 1..8),
    ) {
        let known: usize = cuts.iter().sum();
        let total: f64 = cuts.iter().map(|visible| partition_limit_share(*visible, known)).sum();
        prop_assert!(total <= 1.125 + 1e-9, "{}", total);
    }
}

#[test]
fn a_larger_machine_owns_nearly_everything_beside_small_ones() {
    let mut listed = members(60);
    for member in &mut listed {
        member.weight = 0.12_f64.powi(5);
    }
    for index in 0..6 {
        listed.push(Member {
            node: NodeName::from(format!("large-{index}")),
            weight: 0.5_f64.powi(5),
        });
    }
    let owned_by_large = (0..200)
        .filter(|service| rank_owners(&format!("s{service}"), &listed)[0].starts_with("large"))
        .count();
    assert!(owned_by_large > 185, "{owned_by_large} of 200");
}
