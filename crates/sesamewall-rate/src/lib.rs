//! Decides fleet-wide rates by escrow between domain leads and grant holders.
