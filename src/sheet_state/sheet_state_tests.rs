//! Tests of the sheet in force.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

fn body(hosts: u64) -> Vec<u8> {
    format!(
        "kind,name,pool,service,zones,hosts,spare,max_unavailable,opens_at,closes_at,max_concurrent\n\
         pool,p,,p,z,{hosts},no,,,,\nbudget,,p,,,,,0,,,\n"
    )
    .into_bytes()
}

fn reference(version: u64) -> SheetRef {
    SheetRef { version, digest: Sheet::digest(&body(version)) }
}

#[test]
fn a_newer_sheet_is_wanted_until_it_is_in_force() {
    let mut state = SheetState::new();

    assert!(state.announce(&reference(2)));
    assert_eq!(state.wanted(), Some(&reference(2)));
    assert!(state.accept_body(&reference(2), body(2)).expect("a correct body"));
    assert_eq!(state.wanted(), None);
    assert!(!state.announce(&reference(2)));
}

#[test]
fn a_wrong_or_unreadable_body_leaves_the_old_sheet_in_force() {
    let mut state = SheetState::new();
    state.accept_body(&reference(1), body(1)).expect("a correct body");
    let nonsense = b"nonsense".to_vec();
    let unreadable = SheetRef { version: 3, digest: Sheet::digest(&nonsense) };

    let wrong = state.accept_body(&reference(2), body(1));
    let rejected = state.accept_body(&unreadable, nonsense);

    assert!(matches!(wrong, Err(SheetStateError::WrongBody { version: 2 })));
    assert!(matches!(rejected, Err(SheetStateError::Unreadable { version: 3, .. })));
    assert_eq!(state.version(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(4), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Whatever order announcements and bodies come in, late and repeated, the version never falls.
    #[test]
    fn never_reverts(events in proptest::collection::vec((1_u64..20, any::<bool>()), 1..60)) {
        let mut state = SheetState::new();
        for (version, is_body) in events {
            let before = state.version();
            if is_body {
                let accepted = state.accept_body(&reference(version), body(version)).expect("a correct body");
                prop_assert_eq!(accepted, version > before);
            } else {
                state.announce(&reference(version));
            }
            prop_assert!(state.version() >= before);
            prop_assert!(state.announced_version() >= state.version());
        }
    }
}
