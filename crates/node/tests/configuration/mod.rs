//! Invalid configurations, and a configuration that is reloaded.

use std::io::Read;

use crate::common::{
    Node, ScriptedServer, ScriptedWatch, endpoint_list_json, node_config, read_response, wait_for_counter,
};

#[test]
fn configuration_is_invalid_then_one_line_names_the_field() {
    let good = node_config("127.0.0.1:1".parse().expect("an address"), &[]);
    let cases = [
        (good.replace(r#""sendCap":3"#, r#""sendCap":"x""#), "limits.sendCap"),
        (good.replace(r#""coldShare":0.2"#, r#""coldShare":7"#), "cold_share"),
        (good.replace("8c1f30d27a5be964", "xyz"), "seed"),
        (good.replace(r#""listen":"127"#, r#""listen":"nowhere"#), "listen"),
        (good.replace(r#""sockets":1024"#, r#""sockets":"many""#), "limits.sockets"),
    ];
    for (config, field) in cases {
        let (mut child, _) = Node::spawn(&config, 1024);
        let mut said = String::new();
        child.stderr.take().expect("piped").read_to_string(&mut said).expect("text");
        assert!(!child.wait().expect("it ends").success(), "{config}");
        assert!(said.contains(field) && said.lines().count() == 1, "{field}: {said}");
    }
}

#[test]
fn configuration_names_new_discovery_then_watch_moves_before_the_old_one_closes() {
    // SIGHUP used to end the program, and with it all jobs in hand.
    let (first, second) = (ScriptedServer::start(), ScriptedServer::start());
    let (node, old, _discovery) = Node::start_with_workers(&[("s-1", &first)]);
    let client = node.submit_accepted_job(&first, "r1", "view", 9.0);
    node.wait_for_log_line("endpoint lease confirmed");
    for _ in 0..2 {
        node.reload_config("{");
        assert!(node.next_log_line().contains("config: "), "a bad file changes nothing");
        node.reload_config(
            &node_config(first.address, &[]).replace(r#""discovery":"127"#, r#""discovery":"x"#),
        );
        assert!(node.next_log_line().contains("config: discovery: "));
    }
    // The new discovery hangs; the old one still tells of a change, and of its end.
    let (hangs, moved) = (ScriptedServer::start(), ScriptedServer::start());
    node.reload_config(&node_config(hangs.address, &[]));
    hangs.next_request();
    let all = [first.endpoint_json("s-1", "terminating"), second.endpoint_json("s-2", "in_service")];
    old.send_line(&endpoint_list_json(43, false, &all[..1]));
    wait_for_counter(&node, "curlewusher_transport_map_changes_total", 3);
    // Another one comes while that hangs. It counts in its own way, so that the whole list is asked for.
    node.reload_config(&node_config(moved.address, &[]));
    let watch = ScriptedWatch::open(&moved);
    assert_eq!(watch.since(), "0");
    watch.send_line(&endpoint_list_json(7, true, &all));
    let late = node.submit_accepted_job(&second, "r2", "view", 9.0);
    node.post_completion("r1", "s-1");
    node.post_callback("r2", "s-2", r#""state":"done","result":"y""#);
    assert_eq!((read_response(client).body, read_response(late).body), ("x".into(), "y".into()));
    watch.close();
    assert_eq!(ScriptedWatch::open(&moved).since(), "7");
    node.signal("-TERM");
    node.signal("-HUP");
    assert!(node.wait_for_exit().status.success());
}
