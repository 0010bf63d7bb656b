//! The operator's configuration.

use serde_json::Value;
use serde_json::json;

/// Host of the batch route.
pub const LOT_HOST: &str = "lots.example";

/// Host of the online route.
pub const TALK_HOST: &str = "talk.example";

/// Returns a route of the service `chat`.
pub fn route(name: &str, host: &str, prefix: &str, kind: &str) -> Value {
    json!({
        "name": name, "host": host, "prefix": prefix, "routeType": kind, "timeoutMs": 5000,
        "targetLatencyMs": 300, "priority": 0, "service": "chat", "maxAttempts": 3,
        "public": false, "sessionAffinity": true, "resumable": true, "gapAimMs": 300,
        "runAimMs": 18000, "keepS": 60
    })
}

/// Returns a configuration with these routes, the service `chat` and the tenant `acme`.
pub fn configuration(version: u64, routes: Vec<Value>) -> Value {
    json!({
        "version": version, "routes": routes,
        "services": [{
            "name": "chat", "healthPath": "/healthz", "maxConns": 300, "coldStartS": 3.0,
            "coldPerS": 17.0
        }],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000
        },
        "tenants": [{
            "name": "acme", "apiKeys": ["key-1"], "priority": 1, "ratePerS": 0, "burst": 0
        }]
    })
}
