//! Stand-ins for the platform: store, instance list, model engines and a plain service, with fault switches.
