//! Guards constants of two crates that must agree.

use sesamewall_membership::LEAD_LEASE;
use sesamewall_membership::LEAD_MARGIN;
use sesamewall_membership::LEAD_RENEWAL;
use sesamewall_rate::FLOOR_LEASE;
use sesamewall_rate::FLOOR_MARGIN;
use sesamewall_rate::FLOOR_RENEWAL;

/// Guards against a floor that outlives the lease of its lead, or is claimed before its end.
#[test]
fn floor_lease_equals_lead_lease() {
    assert_eq!(FLOOR_LEASE, LEAD_LEASE);
    assert_eq!(FLOOR_MARGIN, LEAD_MARGIN);
    assert_eq!(FLOOR_RENEWAL, LEAD_RENEWAL);
    assert!(3 * LEAD_RENEWAL <= LEAD_LEASE, "two renewals may be lost");
}
