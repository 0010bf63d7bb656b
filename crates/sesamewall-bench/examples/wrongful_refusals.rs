//! Prints the wrongful refusals of one seed, or breaches over a number of seeds:
//! `wrongful_refusals run SEED` or `wrongful_refusals invariants COUNT`.

use sesamewall_bench::wrongful_refusals;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = arguments.get(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    if arguments.first().is_some_and(|command| command == "invariants") {
        let sum = wrongful_refusals::invariants(0..number);
        println!("seeds 0..{number}: {sum:?}");
        return;
    }
    for row in wrongful_refusals::run(number).rows {
        println!(
            "seed {number} {} {:20} {:12} within {:6} wrongful {:6} share {:.6} after loss {:?} \
             breaches {} asks/request {:.2} wait {:.2} ms",
            row.deployment,
            row.traffic,
            row.policy,
            row.within_rate,
            row.wrongful,
            row.share,
            row.share_after_loss,
            row.breaches,
            row.asks_per_request,
            row.mean_wait_ms,
        );
    }
}
