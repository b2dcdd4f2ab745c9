//! Rendezvous hashing: stable owners as other instances join and leave, and even shares.

use std::sync::Arc;

use coltsfootgate_core::prelude::InstanceId;
use coltsfootgate_core::rendezvous::{OwnerTable, stable_hash};
use proptest::prelude::*;

fn instances(count: usize) -> Vec<InstanceId> {
    (0..count).map(|index| Arc::from(format!("127.0.0.1:{}", 9000 + index))).collect()
}

#[test]
fn hash_is_the_same_in_every_release() {
    assert_eq!(stable_hash(b""), 0xf52a_15e9_a9b5_e89b);
    assert_eq!(stable_hash(b"claims/7"), 0x3eb0_437f_bb8e_70dd);
}

#[test]
fn empty_table_has_no_owner() {
    assert_eq!(OwnerTable::new([]).owner("endpoint"), None);
}

proptest! {
    #[test]
    fn only_the_keys_of_a_lost_instance_change_their_owner(
        count in 2usize..40,
        lost in 0usize..40,
        keys in prop::collection::vec("[a-z]{1,12}", 1..40),
    ) {
        let all = instances(count);
        let lost = all[lost % count].clone();
        let before = OwnerTable::new(all.iter().rev().cloned());
        let after = OwnerTable::new(all.iter().filter(|id| **id != lost).cloned());
        for key in keys {
            let ranked = before.ranked(&key);
            prop_assert_eq!(before.owner(&key), Some(ranked[0]));
            let successor = if *ranked[0] == lost { ranked[1] } else { ranked[0] };
            prop_assert_eq!(after.owner(&key), Some(successor));
        }
    }
}

proptest! {
    #[test]
    fn balanced_owners_have_even_shares(
        count in 1usize..20,
        keys in prop::collection::btree_set("[a-z]{1,12}", 1..60),
    ) {
        let keys: Vec<Arc<str>> = keys.into_iter().map(Arc::from).collect();
        let owners = OwnerTable::new(instances(count)).balanced(&keys);
        let reversed = OwnerTable::new(instances(count).into_iter().rev());
        prop_assert_eq!(&owners, &reversed.balanced(keys.iter().rev()));
        prop_assert_eq!(owners.len(), keys.len());
        for id in instances(count) {
            let owned = owners.values().filter(|owner| **owner == id).count();
            prop_assert!(owned <= keys.len().div_ceil(count));
        }
    }
}

#[test]
fn keys_spread_evenly() {
    let table = OwnerTable::new(instances(9));
    for id in instances(9) {
        let owned = (0..9000).filter(|key| table.owner(&key.to_string()) == Some(&id)).count();
        assert!((800..1200).contains(&owned), "{id} owns {owned} of 9000");
    }
}
