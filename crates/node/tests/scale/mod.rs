//! Scale: idle clients beyond the descriptors, thousands of workers and nodes; and a start without a saved list while
//! discovery is down.

use std::net::{SocketAddr, TcpListener};

use socket2::{Domain, Socket, Type};

use crate::common::{
    Client, HttpMessage, Node, ScriptedServer, ScriptedWatch, counter_value, endpoint_json,
    endpoint_list_json, job_request, node_config, open_request, wait_until,
};

const READY: &str = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
const CHANGES: &str = "curlewusher_transport_map_changes_total";

/// Discovery while it is down: its port is reserved, and refuses connections.
struct StoppedDiscovery(Socket);

impl StoppedDiscovery {
    fn new() -> (StoppedDiscovery, SocketAddr) {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any.into()).expect("a free port");
        let address = socket.local_addr().ok().and_then(|at| at.as_socket()).expect("an address");
        (StoppedDiscovery(socket), address)
    }

    fn start(self) -> ScriptedServer {
        self.0.listen(128).expect("it is its port");
        ScriptedServer::on(TcpListener::from(self.0))
    }
}

impl Client {
    /// A client with an idle connection, on which one request was answered.
    fn idle(node: &Node) -> Client {
        let mut client = Client::connect(node.address);
        assert_eq!(client.get("/ready").status(), 200);
        client
    }

    fn get(&mut self, path: &str) -> HttpMessage {
        self.send(&READY.replace("/ready", path));
        self.read_response().expect("an answer")
    }

    /// One of the counters, read on this connection: a new connection would have another evicted.
    fn counter(&mut self, series: &str) -> u64 {
        counter_value(&self.get("/metrics").body, series)
    }

    fn wait_for_counter(&mut self, series: &str, value: u64) {
        wait_until(&format!("{series} stays under {value}"), || self.counter(series) >= value);
    }
}

#[test]
fn idle_clients_fill_node_while_discovery_is_down_then_other_uses_keep_their_descriptors() {
    for discovery_is in ["subscribe", "automatic"] {
        let (stopped, at) = StoppedDiscovery::new();
        let (drained, other) = (ScriptedServer::start(), ScriptedServer::start());
        let known = |first| [drained.endpoint_json("s-1", first), other.endpoint_json("s-2", "in_service")];
        let text =
            node_config(at, &known("in_service")).replace("1024", "64").replace("subscribe", discovery_is);
        let node = Node::start_with_descriptors(&text, 64);
        wait_until("it stays unready", || node.get("/ready").status() == 200);
        // The budget is exhausted: the first was evicted for the last.
        let mut crowd: Vec<_> = (0..64).map(|_| Client::idle(&node)).collect();
        assert!(crowd[0].read_response().is_none());
        let (mut poller, mut client) = (Client::idle(&node), Client::idle(&node));
        let discovery = stopped.start();
        let watch = ScriptedWatch::open(&discovery);
        watch.send_line(&endpoint_list_json(42, true, &known("terminating")));
        poller.wait_for_counter(CHANGES, 2);
        for n in 0..4 {
            let id = format!("r{n}");
            client.send(&job_request(&id, "view", 9.0, ""));
            other.next_request().accept();
            node.post_completion(&id, "s-2");
            assert_eq!(client.read_response().map(|answer| answer.status()), Some(200), "{id}");
            assert_eq!(node.get("/ready").status(), 200);
        }
        // So is a withdrawal delivered.
        client.send(&job_request("r9", "view", 9.0, ""));
        other.next_request().accept();
        drop(client);
        assert_eq!(other.next_request().message.start_line, "DELETE /jobs/r9 HTTP/1.1");
        assert!(!drained.has_pending_request(), "it drains");
        assert_eq!(poller.counter("curlewusher_accept_failures_total"), 0);
        let said = node.drain_log_lines();
        assert!(!said.iter().any(|line| line.contains("os error 24")), "{said:?}");
    }
}

#[test]
fn all_connection_budgets_are_full_then_a_new_discovery_address_is_still_used() {
    let (hangs, worker) = (ScriptedServer::start(), ScriptedServer::start());
    let known: Vec<_> = (0..24).map(|n| worker.endpoint_json(&format!("s-{n}"), "in_service")).collect();
    let config_for = |at| node_config(at, &known).replace("1024", "64").replace("subscribe", "automatic");
    let node = Node::start_with_descriptors(&config_for(hangs.address), 64);
    let first = ScriptedWatch::answer(&hangs, &known);
    wait_until("it stays unready", || node.get("/ready").status() == 200);
    // These fill the workers' connections: no worker accepts them, and they may not be retried elsewhere.
    let _jobs: Vec<_> = (0..16).map(|n| node.submit_job(&n.to_string(), "order", 9.0)).collect();
    let _held: Vec<_> = (0..8).map(|_| worker.next_request()).collect();
    let mut crowd: Vec<_> = (0..64).map(|_| Client::idle(&node)).collect();
    assert!(crowd[0].read_response().is_none());
    let mut poller = Client::idle(&node);
    first.close();
    // Polls hang side by side, at the old address and at two new ones.
    let mut hanging = Vec::new();
    let others = [ScriptedServer::start(), ScriptedServer::start()];
    for at in [&hangs, &others[0], &others[1]] {
        node.reload_config(&config_for(at.address));
        hanging.extend((0..4).map(|_| at.next_request()));
    }
    let moved = ScriptedServer::start();
    node.reload_config(&config_for(moved.address));
    let watch = ScriptedWatch::open(&moved);
    watch.send_line(&endpoint_list_json(42, true, &known));
    poller.wait_for_counter(CHANGES, 3);
    assert_eq!(node.get("/ready").status(), 200);
    assert_eq!(poller.counter("curlewusher_accept_failures_total"), 0);
    let said = node.drain_log_lines();
    assert!(!said.iter().any(|line| line.contains("os error 24")), "{said:?}");
}

/// An indented list of 1,024 workers with names of 200 characters. All but these two are at an address where no process
/// listens.
fn long_list(drained: &ScriptedServer, other: &ScriptedServer, first: &str) -> (Vec<String>, String) {
    let nowhere = "127.0.0.1:9".parse().expect("an address");
    let name = |n: usize| format!("s-{n:0198}");
    let mut all: Vec<_> = (2..1024).map(|n| endpoint_json(&name(n), nowhere, "terminating")).collect();
    all.insert(500, drained.endpoint_json(&name(0), first));
    all.push(other.endpoint_json(&name(1), "in_service"));
    let text =
        endpoint_list_json(42, true, &all).replace(",\"", ",\n            \"").replace('{', "\n        {");
    (all, text.trim_start().to_owned())
}

#[test]
fn thousand_workers_with_long_names_and_thousand_nodes_then_jobs_are_served_in_32_mb() {
    for nodes in [350, 1024] {
        let (discovery, drained, other) =
            (ScriptedServer::start(), ScriptedServer::start(), ScriptedServer::start());
        let (known, _) = long_list(&drained, &other, "in_service");
        let text = node_config(discovery.address, &known)
            .replace(r#""balancers":1"#, &format!(r#""balancers":{nodes}"#))
            .replace(r#""memory_mb":192"#, r#""memory_mb":32"#)
            // A node of many waits for its slot for a part of this time.
            .replace(r#""askWithinUs":10000000"#, r#""askWithinUs":1000000"#);
        let node = Node::start(&text);
        let watch = ScriptedWatch::open(&discovery);
        let (_, listed) = long_list(&drained, &other, "terminating");
        assert!(listed.len() > 400_000, "{}", listed.len());
        watch.send_line(&listed);
        wait_until("it stays unready", || node.get("/ready").status() == 200);
        Client::idle(&node).wait_for_counter(CHANGES, 2);
        let from = format!("s-{:0198}", 1);
        for id in ["r0", "r1", "r2"] {
            let client = node.submit_job(id, "view", 9.0);
            node.serve_job(client, &other.next_request(), id, &from);
        }
        assert!(!drained.has_pending_request(), "it drains");
        assert_eq!(node.counter("curlewusher_transport_map_failures_total"), 0);
        // The most memory that its process ever had, in kB.
        let status = std::fs::read_to_string(format!("/proc/{}/status", node.pid())).expect("it runs");
        let most = status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.strip_suffix("kB"));
        let most: u64 = most.and_then(|kb| kb.trim().parse().ok()).expect("it is there");
        assert!(most < 32 << 10, "{most} kB");
    }
}

#[test]
fn no_saved_list_and_discovery_was_down_then_node_is_ready_with_its_first_list() {
    for discovery_is in ["subscribe", "automatic"] {
        let (stopped, at) = StoppedDiscovery::new();
        let worker = ScriptedServer::start();
        let node = Node::start(&node_config(at, &[]).replace("subscribe", discovery_is));
        // Its poll has failed, and it is not ready.
        node.wait_for_log_line("discovery cannot be reached");
        assert_eq!(node.get("/ready").status(), 503);
        let discovery = stopped.start();
        let watch = ScriptedWatch::open(&discovery);
        // The saved list has a version and no worker: changes since that version would list no worker either.
        assert_eq!(watch.since(), "0");
        assert_eq!(node.get("/ready").status(), 503, "a watch without a list does not count");
        watch.send_line(&endpoint_list_json(42, true, &[worker.endpoint_json("s-1", "in_service")]));
        wait_until("it stays unready", || node.get("/ready").status() == 200);
        let client = node.submit_job("r1", "view", 9.0);
        node.serve_job(client, &worker.next_request(), "r1", "s-1");
    }
}

#[test]
fn connections_exceed_descriptors_then_job_is_still_served() {
    let (discovery, worker) = (ScriptedServer::start(), ScriptedServer::start());
    let known = [worker.endpoint_json("s-1", "in_service")];
    let config = node_config(discovery.address, &known);
    // By its own count the node closes idle connections in time, and keeps descriptors for workers.
    let node = Node::start(&config.replace("1024", "64"));
    let _watch = ScriptedWatch::answer(&discovery, &known);
    // A connection with half a request is evicted as soon as one without any.
    let crowd: Vec<_> = (0..100).map(|i| open_request(node.address, ["", "POST /api"][i % 2])).collect();
    let client = node.submit_job("r1", "view", 9.0);
    node.serve_job(client, &worker.next_request(), "r1", "s-1");
    drop(crowd);
    // With a configured limit far above the system's, the node survives that the system refuses descriptors.
    let node = Node::start_with_descriptors(&config, 48);
    let _watch = ScriptedWatch::answer(&discovery, &known);
    wait_until("it stays unready", || node.get("/ready").status() == 200);
    let _crowd: Vec<_> = (0..100).map(|_| open_request(node.address, "")).collect();
    assert_eq!(node.get("/ready").status(), 200);
    assert!(node.counter("curlewusher_accept_failures_total") > 0);
}
