//! Tests of writing the ends of claims.

use super::claim_closer::write_batch;
use super::claims::{claim, row_key, Claim, ClaimClosing, ClaimRow};
use crate::platform::Platform;
use crate::standin::{EmbeddedPlatform, StandIn};

#[test]
fn a_claim_that_is_not_there_yet_is_looked_for_again_and_released_when_it_comes() {
    let platform = EmbeddedPlatform::new(StandIn::new(), "z");
    let row =
        ClaimRow { claim_id: "1".into(), daemon: "d".into(), digest: "digest".into(), expires_at_s: 100, ending: None };
    let given_up = Claim { row_key: row_key("pool", "k"), row };
    let release = |rechecks_left| [(ClaimClosing { claim: given_up.clone(), ending: None, rechecks_left }, None)];

    let before = write_batch(&platform, &release(2)).expect("the stand-in answers");
    let last = write_batch(&platform, &release(0)).expect("the stand-in answers");
    // The transaction that was given up takes effect only now.
    claim(&platform, std::slice::from_ref(&given_up));
    let after = write_batch(&platform, &release(1)).expect("the stand-in answers");

    assert_eq!((before.len(), last.len(), after.len()), (1, 0, 0));
    assert_eq!(platform.read(&given_up.row_key), Ok(None), "the key is free");
}
