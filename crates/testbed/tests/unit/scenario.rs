//! Parsing of scenario files: errors, and the shipped files.

use super::*;

/// Valid scenario, in which the tests replace lines.
const VALID: &str = include_str!("../golden/scenario_valid.toml");

/// Replaces a part of the valid scenario, and asserts that the error is a single line that contains each of
/// `parts`.
fn assert_rejected(old: &str, new: &str, parts: [&str; 3]) {
    let text = VALID.replace(old, new);
    let error = Scenario::parse(&text).expect_err(new).to_string();
    assert!(parts.iter().all(|part| error.contains(part)) && !error.contains('\n'), "{new}: {error}");
}

/// Adds a valid fault and a second fault that ends with `rest`, and asserts that the error contains each of
/// `parts`.
fn assert_second_fault_rejected(rest: &str, parts: [&str; 3]) {
    let first = "worth = 1.0\n[[fault]]\nat_s = 1.0\nkind = 'kill'\nof = [0]\n[[fault]]\nat_s = 2.0\n";
    assert_rejected("worth = 1.0", &format!("{first}{rest}"), parts);
}

#[test]
fn valid_scenario_then_it_is_parsed() {
    assert!(Scenario::parse(VALID).is_ok(), "{:?}", Scenario::parse(VALID));
}

#[test]
fn unknown_field_or_wrong_type_then_the_error_names_its_line_and_the_remedy() {
    assert_rejected("rate = 5.0", "rte = 5.0", ["line 7", "rte", "`rate`"]);
    assert_rejected("rate = 5.0", "rate = 'much'", ["line 7", "load.rate", "f64"]);
    assert_rejected("repeats = 'safe'", "repeats = 'often'", ["line 12", "repeats", "`keyed`"]);
}

#[test]
fn number_out_of_range_then_the_error_names_its_line_and_the_range() {
    assert_rejected("count = 1", "count = 0", ["line 5", "nodes.count", "from 1 to 64"]);
    assert_rejected("length_s = 5.0", "length_s = 0", ["line 3", "length_s", "from 0.5"]);
    for (new, parts) in [
        ("rate = nan", ["line 7", "load.rate", "from 0.1"]),
        ("rate = 5.0\nsets = 0", ["line 8", "load.sets", "from 1"]),
        ("rate = 5.0\nskew = -1", ["line 8", "load.skew", "from 0"]),
        ("rate = 5.0\nhint_spread = -1", ["line 8", "load.hint_spread", "from 0"]),
        ("rate = 5.0\nretry_wait_s = -1", ["line 8", "load.retry_wait_s", "from 0"]),
        (
            "rate = 5.0\n[[load.tide]]\nfrom_s = 1\nuntil_s = 0.5\nfactor = 1",
            ["line 10", "load.tide.until_s", "from 1 to 5"],
        ),
        ("rate = 5.0\n[fleet]\nlist_call_s = -0.1", ["line 9", "fleet.list_call_s", "from 0"]),
        ("rate = 5.0\n[fleet]\nfetch_s = -0.1", ["line 9", "fleet.fetch_s", "from 0"]),
        ("rate = 5.0\n[fleet]\nwarm_up_s = -1", ["line 9", "fleet.warm_up_s", "from 0"]),
        ("rate = 5.0\n[fleet]\ncrowding = -1", ["line 9", "fleet.crowding", "from 0"]),
    ] {
        assert_rejected("rate = 5.0", new, parts);
    }
}

#[test]
fn invalid_class_then_the_error_names_its_line_and_the_remedy() {
    assert_rejected("share = 1.0", "share = -1.0", ["line 10", "class.share", "from"]);
    assert_rejected("stretch = 2.0", "stretch = -2.0", ["line 14", "class.stretch", "from 0"]);
    assert_rejected("worth = 1.0", "worth = -1.0", ["line 16", "class.worth", "from 0"]);
    assert_rejected("name = 'view'", "name = 'a view'", ["line 9", "class.name", "letters"]);
}

#[test]
fn invalid_fault_of_workers_then_the_error_names_its_line_and_the_remedy() {
    for (rest, parts) in [
        ("kind = 'slow'\nof = [0]", ["line 21", "fault.factor", "needs it"]),
        ("kind = 'kill'\nof = [10]", ["line 24", "fault.of", "10 workers"]),
        ("kind = 'grow'\nof = [10000]", ["line 24", "fault.of", "10000"]),
        ("kind = 'kill'\nof = [1]\nfor_s = -1", ["line 25", "fault.for_s", "from 0"]),
        ("kind = 'kill'\nshare = 2", ["line 24", "fault.share", "from 0 to 1"]),
        ("kind = 'kill'\nof = [1]\nfactor = 2", ["line 25", "fault.factor", "slow only"]),
        ("kind = 'kill'", ["line 21", "fault.of", "share"]),
        ("kind = 'maintenance'\nof = [1]", ["line 21", "fault.for_s", "needs it"]),
    ] {
        assert_second_fault_rejected(rest, parts);
    }
}

#[test]
fn invalid_fault_of_nodes_then_the_error_names_its_line_and_the_remedy() {
    for (rest, parts) in [
        ("kind = 'node_kill'\nof = [1]", ["line 24", "fault.of", "1 nodes"]),
        ("kind = 'upgrade'\nof = [1]", ["line 24", "fault.of", "1 nodes"]),
        ("kind = 'upgrade'\nof = [0]\ndelay_s = 9", ["line 25", "fault.delay_s", "from 0 to 6"]),
        ("kind = 'upgrade'\nof = [0]\nwhom = 'newer'", ["line 25", "fault.whom", "kill_in_upgrade only"]),
        (
            "kind = 'upgrade'\nof = [0]\n[[fault]]\nat_s = 4.0\nkind = 'upgrade'\nof = [0]",
            ["line 26", "fault.at_s", "until 18 s"],
        ),
    ] {
        assert_second_fault_rejected(rest, parts);
    }
}

#[test]
fn shipped_scenario_then_it_is_valid() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios");
    let files: Vec<_> =
        std::fs::read_dir(folder).expect("the folder of the scenarios can be read").flatten().collect();
    assert!(!files.is_empty());
    for file in files {
        let text = std::fs::read_to_string(file.path()).expect("the scenario can be read");
        if let Err(problem) = Scenario::parse(&text) {
            panic!("{:?}: {problem}", file.path());
        }
    }
}
