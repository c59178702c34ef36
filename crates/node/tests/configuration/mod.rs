//! Rejection of invalid configurations, and reload of the configuration on SIGHUP.

use std::io::Read;

use crate::common::{Node, ScriptedServer, ScriptedWatch, node_config, read_response, wait_for_counter};

#[test]
fn configuration_is_invalid_then_one_error_line_names_the_field() {
    let valid = node_config("127.0.0.1:1".parse().expect("the address is malformed"), &[]);
    let cases = [
        (valid.replace(r#""sendCap":3"#, r#""sendCap":"x""#), "limits.sendCap"),
        (valid.replace(r#""coldShare":0.2"#, r#""coldShare":7"#), "cold_share"),
        (valid.replace("8c1f30d27a5be964", "xyz"), "seed"),
        (valid.replace(r#""listen":"127"#, r#""listen":"nowhere"#), "listen"),
        (valid.replace(r#""sockets":1024"#, r#""sockets":"many""#), "limits.sockets"),
    ];
    for (config, field) in cases {
        let (mut child, _) = Node::spawn(&config, 1024);
        let mut stderr = String::new();
        child
            .stderr
            .take()
            .expect("stderr is not piped")
            .read_to_string(&mut stderr)
            .expect("reading stderr failed");
        assert!(!child.wait().expect("waiting for the exit failed").success(), "{config}");
        assert!(stderr.contains(field) && stderr.lines().count() == 1, "{field}: {stderr}");
    }
}

#[test]
fn discovery_address_changes_then_new_watch_opens_before_the_old_one_closes() {
    // Guards against a regression: SIGHUP once ended the program and lost all open jobs.
    let (first_worker, second_worker) = (ScriptedServer::start(), ScriptedServer::start());
    let (node, old_watch, _discovery) = Node::start_with_workers(&[("s-1", &first_worker)]);
    let client = node.submit_accepted_job(&first_worker, "r1", "view", 9.0);
    node.wait_for_log_line("endpoint lease confirmed");
    for _ in 0..2 {
        node.reload_config("{");
        assert!(node.next_log_line().contains("config: "), "an invalid file was not reported");
        node.reload_config(
            &node_config(first_worker.address, &[]).replace(r#""discovery":"127"#, r#""discovery":"x"#),
        );
        assert!(node.next_log_line().contains("config: discovery: "));
    }
    // The new discovery does not respond. The old one still sends a change: the worker `s-1` is terminating.
    let (unresponsive, new_discovery) = (ScriptedServer::start(), ScriptedServer::start());
    node.reload_config(&node_config(unresponsive.address, &[]));
    unresponsive.next_request();
    let endpoints =
        [first_worker.endpoint_json("s-1", "terminating"), second_worker.endpoint_json("s-2", "in_service")];
    old_watch.send_endpoints(43, false, &endpoints[..1]);
    wait_for_counter(&node, "curlewusher_transport_map_changes_total", 3);
    // A third discovery is configured while the second does not respond. It numbers its lists independently,
    // so the node requests the whole list.
    node.reload_config(&node_config(new_discovery.address, &[]));
    let watch = ScriptedWatch::open(&new_discovery);
    assert_eq!(watch.since(), "0");
    watch.send_endpoints(7, true, &endpoints);
    let late_client = node.submit_accepted_job(&second_worker, "r2", "view", 9.0);
    node.post_completion("r1", "s-1");
    node.post_callback("r2", "s-2", r#""state":"done","result":"y""#);
    assert_eq!((read_response(client).body, read_response(late_client).body), ("x".into(), "y".into()));
    watch.close();
    assert_eq!(ScriptedWatch::open(&new_discovery).since(), "7");
    node.signal("-TERM");
    node.signal("-HUP");
    assert!(node.wait_for_exit().status.success());
}
