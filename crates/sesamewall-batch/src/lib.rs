//! Decides about batch jobs: segments, claims, outcomes, copies and their repair.
