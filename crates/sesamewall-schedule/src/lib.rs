//! Decides admission to targets, queueing, fairness, batch yielding, routing, retries and ejection.
