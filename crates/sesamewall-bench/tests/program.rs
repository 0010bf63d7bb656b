//! Guards the output of `sesamewall-bench`.
#![allow(clippy::unwrap_used)]

use serde_json::Value;
use sesamewall_bench::run_command;

fn json(arguments: &[&str]) -> Value {
    serde_json::from_str(&run_command(&[arguments, &["--json"]].concat()).unwrap()).unwrap()
}

/// Guards against an experiment without figures, targets, baseline or count of violations, and
/// against a verdict that differs from the comparison of value and target.
fn check_table(table: &Value, name: &str) {
    assert_eq!(table["name"], name);
    let rows = table["rows"].as_array().unwrap();
    for row in rows {
        let value = row["value"].as_f64().unwrap();
        let target = &row["target"];
        let met = match (target["at_most"].as_f64(), target["at_least"].as_f64()) {
            (Some(bound), None) => Some(value <= bound),
            (None, Some(bound)) => Some(value >= bound),
            _ => None,
        };
        let verdict = met.map(|met| if met { "met" } else { "missed" });
        assert_eq!(row["verdict"].as_str(), verdict, "{row}");
        assert!(row["figure"].is_string() && row["policy"].is_string(), "{row}");
    }
    let is_violation_count = |row: &&Value| row["figure"].as_str().unwrap().starts_with("breaches");
    assert!(rows.iter().any(|row| is_violation_count(&row) && !row["baseline"].as_bool().unwrap()));
}

fn check_deployments(table: &Value) {
    let rows = table["rows"].as_array().unwrap();
    for deployment in ["A", "B"] {
        for baseline in [true, false] {
            let fits =
                |row: &&Value| row["deployment"] == deployment && row["baseline"] == baseline;
            assert!(rows.iter().any(|row| fits(&row)), "{deployment} {baseline}");
        }
    }
}

#[test]
fn experiments_print_tables() {
    for name in ["online-tail", "fairness", "wrongful-refusals", "domain-outage"] {
        let table = json(&[name, "--small", "--seed", "2"]);
        assert_eq!(table["seed"], 2);
        check_table(&table, name);
        check_deployments(&table);
    }
}

#[test]
fn invariants_print_a_table() {
    let table = json(&["invariants", "--seed", "3", "--seeds", "2"]);
    check_table(&table, "invariants");
    assert_eq!(table["rows"][0]["value"], 2.0);
    assert_eq!(table["notes"][0], "seeds that breach: []");
}

/// Guards against costs that are not measured: a request that fails adds a note and no ratio.
#[test]
fn costs_print_tables() {
    let figures = |table: &Value| -> Vec<String> {
        let rows = table["rows"].as_array().unwrap();
        rows.iter().map(|row| row["figure"].as_str().unwrap().to_owned()).collect()
    };
    let table = json(&["hot-path", "--small"]);
    check_table(&table, "hot-path");
    assert_eq!(table["notes"], Value::Array(Vec::new()));
    let ratios = figures(&table).iter().filter(|name| *name == "over pass-through").count();
    assert_eq!(ratios, 2);
    let table = json(&["slopes", "--small"]);
    check_table(&table, "slopes");
    assert_eq!(table["notes"], Value::Array(Vec::new()));
    assert!(figures(&table).iter().any(|name| name.starts_with("plain instance, TCP")));
}

/// Guards against an unknown experiment name that is accepted silently.
#[test]
fn unknown_names_fail() {
    assert!(run_command(&["other"]).unwrap_err().contains("`other`"));
}
