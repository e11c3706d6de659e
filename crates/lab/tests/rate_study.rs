//! Ways to hold a rate: none serves too much, and escrow refuses less than a static split.

use mustardbay_lab::rate_study::RateScenario;
use mustardbay_lab::rate_study::RateWay;
use mustardbay_lab::rate_study::simulate;
use test_case::test_case;

const SEED: u64 = 1;

#[test_case(RateScenario::Uneven; "uneven")]
#[test_case(RateScenario::Flood; "flood")]
#[test_case(RateScenario::HolderDies; "holder dies")]
#[test_case(RateScenario::Outage; "outage")]
fn simulate_never_overshoots(scenario: RateScenario) {
    for way in RateWay::ALL {
        let tally = simulate(way, scenario, SEED);
        assert_eq!(tally.overshoot, 0, "{way}");
    }
}

#[test_case(RateScenario::Uneven; "uneven")]
#[test_case(RateScenario::HolderDies; "holder dies")]
fn simulate_escrow_beats_static(scenario: RateScenario) {
    let fixed = simulate(RateWay::Static, scenario, SEED);
    let escrow = simulate(RateWay::Escrow, scenario, SEED);
    assert_eq!(fixed.requests, escrow.requests);
    assert!(
        escrow.wrongful() < fixed.wrongful(),
        "escrow {} static {}",
        escrow.wrongful(),
        fixed.wrongful()
    );
}
