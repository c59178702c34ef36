//! Reading of scenario files: errors, and the files that are shipped.

use super::*;

const GOOD: &str = "title = 't'\nseed = 1\nlength_s = 5.0\n[nodes]\ncount = 1\n[load]\nrate = 5.0\n[[class]]\n\
    name = 'view'\nshare = 1.0\nmean_s = 0.1\nrepeats = 'safe'\naim_s = 1.0\nstretch = 2.0\ngive_up_s = 5.0\nworth = 1.0\n";

#[test]
fn invalid_field_then_the_error_names_its_line_and_what_would_be_right() {
    assert!(Scenario::parse(GOOD).is_ok(), "{:?}", Scenario::parse(GOOD));
    let fault = "worth = 1.0\n[[fault]]\nat_s = 1.0\nkind = 'kill'\nof = [0]\n[[fault]]\nat_s = 2.0\n";
    let second = |rest: &str| format!("{fault}{rest}");
    let cases: [(&str, String, [&str; 3]); 32] = [
        ("count = 1", "count = 0".into(), ["line 5", "nodes.count", "from 1 to 64"]),
        ("rate = 5.0", "rte = 5.0".into(), ["line 7", "rte", "`rate`"]),
        ("rate = 5.0", "rate = 'much'".into(), ["line 7", "load.rate", "f64"]),
        ("rate = 5.0", "rate = nan".into(), ["line 7", "load.rate", "from 0.1"]),
        ("rate = 5.0", "rate = 5.0\nsets = 0".into(), ["line 8", "load.sets", "from 1"]),
        ("rate = 5.0", "rate = 5.0\nskew = -1".into(), ["line 8", "load.skew", "from 0"]),
        ("rate = 5.0", "rate = 5.0\nhint_spread = -1".into(), ["line 8", "load.hint_spread", "from 0"]),
        ("rate = 5.0", "rate = 5.0\nretry_wait_s = -1".into(), ["line 8", "load.retry_wait_s", "from 0"]),
        (
            "rate = 5.0",
            "rate = 5.0\n[[load.tide]]\nfrom_s = 1\nuntil_s = 0.5\nfactor = 1".into(),
            ["line 10", "load.tide.until_s", "from 1 to 5"],
        ),
        (
            "rate = 5.0",
            "rate = 5.0\n[fleet]\nlist_call_s = -0.1".into(),
            ["line 9", "fleet.list_call_s", "from 0"],
        ),
        ("rate = 5.0", "rate = 5.0\n[fleet]\nfetch_s = -0.1".into(), ["line 9", "fleet.fetch_s", "from 0"]),
        ("rate = 5.0", "rate = 5.0\n[fleet]\nwarm_up_s = -1".into(), ["line 9", "fleet.warm_up_s", "from 0"]),
        ("rate = 5.0", "rate = 5.0\n[fleet]\ncrowding = -1".into(), ["line 9", "fleet.crowding", "from 0"]),
        ("share = 1.0", "share = -1.0".into(), ["line 10", "class.share", "from"]),
        ("stretch = 2.0", "stretch = -2.0".into(), ["line 14", "class.stretch", "from 0"]),
        ("worth = 1.0", "worth = -1.0".into(), ["line 16", "class.worth", "from 0"]),
        ("name = 'view'", "name = 'a view'".into(), ["line 9", "class.name", "letters"]),
        ("repeats = 'safe'", "repeats = 'often'".into(), ["line 12", "repeats", "`keyed`"]),
        ("worth = 1.0", second("kind = 'slow'\nof = [0]"), ["line 21", "fault.factor", "needs it"]),
        ("worth = 1.0", second("kind = 'kill'\nof = [10]"), ["line 24", "fault.of", "10 workers"]),
        ("worth = 1.0", second("kind = 'node_kill'\nof = [1]"), ["line 24", "fault.of", "1 nodes"]),
        ("worth = 1.0", second("kind = 'grow'\nof = [10000]"), ["line 24", "fault.of", "10000"]),
        ("worth = 1.0", second("kind = 'kill'\nof = [1]\nfor_s = -1"), ["line 25", "fault.for_s", "from 0"]),
        ("worth = 1.0", second("kind = 'kill'\nshare = 2"), ["line 24", "fault.share", "from 0 to 1"]),
        (
            "worth = 1.0",
            second("kind = 'kill'\nof = [1]\nfactor = 2"),
            ["line 25", "fault.factor", "slow only"],
        ),
        ("worth = 1.0", second("kind = 'kill'"), ["line 21", "fault.of", "share"]),
        ("worth = 1.0", second("kind = 'maintenance'\nof = [1]"), ["line 21", "fault.for_s", "needs it"]),
        ("worth = 1.0", second("kind = 'upgrade'\nof = [1]"), ["line 24", "fault.of", "1 nodes"]),
        (
            "worth = 1.0",
            second("kind = 'upgrade'\nof = [0]\ndelay_s = 9"),
            ["line 25", "fault.delay_s", "from 0 to 6"],
        ),
        (
            "worth = 1.0",
            second("kind = 'upgrade'\nof = [0]\nwhom = 'newer'"),
            ["line 25", "fault.whom", "kill_in_upgrade only"],
        ),
        (
            "worth = 1.0",
            second("kind = 'upgrade'\nof = [0]\n[[fault]]\nat_s = 4.0\nkind = 'upgrade'\nof = [0]"),
            ["line 26", "fault.at_s", "until 18 s"],
        ),
        ("length_s = 5.0", "length_s = 0".into(), ["line 3", "length_s", "from 0.5"]),
    ];
    for (old, new, parts) in cases {
        let text = GOOD.replace(old, &new);
        let error = Scenario::parse(&text).expect_err(&new).to_string();
        assert!(parts.iter().all(|part| error.contains(part)) && !error.contains('\n'), "{new}: {error}");
    }
}

#[test]
fn shipped_scenario_then_it_is_valid() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios");
    let files: Vec<_> = std::fs::read_dir(folder).expect("the folder").flatten().collect();
    assert!(!files.is_empty());
    for file in files {
        let text = std::fs::read_to_string(file.path()).expect("a scenario");
        if let Err(problem) = Scenario::parse(&text) {
            panic!("{:?}: {problem}", file.path());
        }
    }
}
