//! Scale: more idle clients than file descriptors, thousands of workers and nodes, and a start without a
//! saved list while discovery is down.

use std::net::{SocketAddr, TcpListener};

use socket2::{Domain, Socket, Type};

use crate::common::{
    Client, HttpMessage, Node, ScriptedServer, ScriptedWatch, counter_value, endpoint_json,
    endpoint_list_json, job_request, node_config, open_request, wait_until,
};

const READY_REQUEST: &str = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
/// Counter of the endpoint lists and changes that a node has read.
const CHANGES: &str = "curlewusher_transport_map_changes_total";

/// Discovery while it is down. Its port is reserved and refuses connections.
struct StoppedDiscovery(Socket);

impl StoppedDiscovery {
    /// Reserves a port. Returns its address too.
    fn new() -> (StoppedDiscovery, SocketAddr) {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("creating the socket failed");
        let any_port: SocketAddr = "127.0.0.1:0".parse().expect("the address is malformed");
        socket.bind(&any_port.into()).expect("binding a port failed");
        let address = socket
            .local_addr()
            .ok()
            .and_then(|address| address.as_socket())
            .expect("the socket has no address");
        (StoppedDiscovery(socket), address)
    }

    /// Starts discovery on the reserved port.
    fn start(self) -> ScriptedServer {
        self.0.listen(128).expect("listening on the reserved port failed");
        ScriptedServer::from_listener(TcpListener::from(self.0))
    }
}

impl Client {
    /// Connects a client whose connection is idle after one response.
    fn idle(node: &Node) -> Client {
        let mut client = Client::connect(node.address);
        assert_eq!(client.get("/ready").status(), 200);
        client
    }

    /// Returns the response to `GET path` on this connection.
    fn get(&mut self, path: &str) -> HttpMessage {
        self.send(&READY_REQUEST.replace("/ready", path));
        self.read_response().expect("no response arrived")
    }

    /// Returns a counter of the node. Reads it on this connection, since the node would evict another
    /// connection for a new one.
    fn counter(&mut self, series: &str) -> u64 {
        counter_value(&self.get("/metrics").body, series)
    }

    /// Waits until a counter of the node has reached `value`.
    fn wait_for_counter(&mut self, series: &str, value: u64) {
        wait_until(&format!("{series} stays below {value}"), || self.counter(series) >= value);
    }
}

#[test]
fn idle_clients_exhaust_budget_while_discovery_is_down_then_other_uses_keep_their_descriptors() {
    for discovery_mode in ["subscribe", "automatic"] {
        let (stopped, address) = StoppedDiscovery::new();
        let (draining, other) = (ScriptedServer::start(), ScriptedServer::start());
        let endpoints = |first_status| {
            [draining.endpoint_json("s-1", first_status), other.endpoint_json("s-2", "in_service")]
        };
        let config = node_config(address, &endpoints("in_service"))
            .replace("1024", "64")
            .replace("subscribe", discovery_mode);
        let node = Node::start_with_descriptor_limit(&config, 64);
        wait_until("the node did not become ready", || node.get("/ready").status() == 200);
        // The clients exhaust the connection budget: the node has evicted the first one for the last one.
        let mut idle_clients: Vec<_> = (0..64).map(|_| Client::idle(&node)).collect();
        assert!(idle_clients[0].read_response().is_none());
        let (mut poller, mut client) = (Client::idle(&node), Client::idle(&node));
        let discovery = stopped.start();
        let watch = ScriptedWatch::open(&discovery);
        watch.send_endpoints(42, true, &endpoints("terminating"));
        poller.wait_for_counter(CHANGES, 2);
        for n in 0..4 {
            let id = format!("r{n}");
            client.send(&job_request(&id, "view", 9.0, ""));
            other.next_request().accept();
            node.post_completion(&id, "s-2");
            assert_eq!(client.read_response().map(|response| response.status()), Some(200), "{id}");
            assert_eq!(node.get("/ready").status(), 200);
        }
        // A cancellation is delivered as well.
        client.send(&job_request("r9", "view", 9.0, ""));
        other.next_request().accept();
        drop(client);
        other.expect_cancellation("r9");
        assert!(!draining.has_pending_request(), "a job was sent to the draining worker");
        assert_eq!(poller.counter("curlewusher_accept_failures_total"), 0);
        let log_lines = node.drain_log_lines();
        assert!(!log_lines.iter().any(|line| line.contains("os error 24")), "{log_lines:?}");
    }
}

#[test]
fn all_connection_budgets_are_exhausted_then_new_discovery_address_is_still_used() {
    let (unresponsive, worker) = (ScriptedServer::start(), ScriptedServer::start());
    let endpoints: Vec<_> = (0..24).map(|n| worker.endpoint_json(&format!("s-{n}"), "in_service")).collect();
    let config_for = |discovery| {
        node_config(discovery, &endpoints).replace("1024", "64").replace("subscribe", "automatic")
    };
    let node = Node::start_with_descriptor_limit(&config_for(unresponsive.address), 64);
    let first_watch = ScriptedWatch::open_with_endpoints(&unresponsive, &endpoints);
    wait_until("the node did not become ready", || node.get("/ready").status() == 200);
    // These jobs use all connections to workers: no worker accepts them, and they must not be retried at
    // another worker.
    let _jobs: Vec<_> = (0..16).map(|n| node.submit_job(&n.to_string(), "order", 9.0)).collect();
    let _pending_attempts: Vec<_> = (0..8).map(|_| worker.next_request()).collect();
    let mut idle_clients: Vec<_> = (0..64).map(|_| Client::idle(&node)).collect();
    assert!(idle_clients[0].read_response().is_none());
    let mut poller = Client::idle(&node);
    first_watch.close();
    // Several polls at a time get no response, at the old address and at two new ones.
    let mut pending_polls = Vec::new();
    let new_unresponsive = [ScriptedServer::start(), ScriptedServer::start()];
    for discovery in [&unresponsive, &new_unresponsive[0], &new_unresponsive[1]] {
        node.reload_config(&config_for(discovery.address));
        pending_polls.extend((0..4).map(|_| discovery.next_request()));
    }
    let new_discovery = ScriptedServer::start();
    node.reload_config(&config_for(new_discovery.address));
    let watch = ScriptedWatch::open(&new_discovery);
    watch.send_endpoints(42, true, &endpoints);
    poller.wait_for_counter(CHANGES, 3);
    assert_eq!(node.get("/ready").status(), 200);
    assert_eq!(poller.counter("curlewusher_accept_failures_total"), 0);
    let log_lines = node.drain_log_lines();
    assert!(!log_lines.iter().any(|line| line.contains("os error 24")), "{log_lines:?}");
}

/// Returns 1,024 endpoints with names of 200 characters, and the indented endpoint list of them. All but the
/// two given workers have an address at which no process listens. `draining_status` is the status of the
/// worker `draining`.
fn long_list(
    draining: &ScriptedServer,
    other: &ScriptedServer,
    draining_status: &str,
) -> (Vec<String>, String) {
    let unused_address = "127.0.0.1:9".parse().expect("the address is malformed");
    let worker_name = |n: usize| format!("s-{n:0198}");
    let mut endpoints: Vec<_> =
        (2..1024).map(|n| endpoint_json(&worker_name(n), unused_address, "terminating")).collect();
    endpoints.insert(500, draining.endpoint_json(&worker_name(0), draining_status));
    endpoints.push(other.endpoint_json(&worker_name(1), "in_service"));
    let text = endpoint_list_json(42, true, &endpoints)
        .replace(",\"", ",\n            \"")
        .replace('{', "\n        {");
    (endpoints, text.trim_start().to_owned())
}

#[test]
fn thousand_workers_with_long_names_and_thousand_nodes_then_jobs_are_served_in_32_mb() {
    for node_count in [350, 1024] {
        let (discovery, draining, other) =
            (ScriptedServer::start(), ScriptedServer::start(), ScriptedServer::start());
        let (endpoints, _) = long_list(&draining, &other, "in_service");
        let config = node_config(discovery.address, &endpoints)
            .replace(r#""balancers":1"#, &format!(r#""balancers":{node_count}"#))
            .replace(r#""memory_mb":192"#, r#""memory_mb":32"#)
            // If there are many nodes, each node waits for its time slot during a part of this duration.
            .replace(r#""askWithinUs":10000000"#, r#""askWithinUs":1000000"#);
        let node = Node::start(&config);
        let watch = ScriptedWatch::open(&discovery);
        let (_, list_text) = long_list(&draining, &other, "terminating");
        assert!(list_text.len() > 400_000, "{}", list_text.len());
        watch.send_line(&list_text);
        wait_until("the node did not become ready", || node.get("/ready").status() == 200);
        Client::idle(&node).wait_for_counter(CHANGES, 2);
        let worker_name = format!("s-{:0198}", 1);
        for id in ["r0", "r1", "r2"] {
            node.assert_serves(&other, id, "view", &worker_name);
        }
        assert!(!draining.has_pending_request(), "a job was sent to the draining worker");
        assert_eq!(node.counter("curlewusher_transport_map_failures_total"), 0);
        let peak_kb = node.peak_memory_kb();
        assert!(peak_kb < 32 << 10, "the node used {peak_kb} kB");
    }
}

#[test]
fn no_saved_list_and_discovery_was_down_then_node_is_ready_with_its_first_list() {
    for discovery_mode in ["subscribe", "automatic"] {
        let (stopped, address) = StoppedDiscovery::new();
        let worker = ScriptedServer::start();
        let node = Node::start(&node_config(address, &[]).replace("subscribe", discovery_mode));
        // The poll of the node has failed, and the node is not ready.
        node.wait_for_log_line("discovery cannot be reached");
        assert_eq!(node.get("/ready").status(), 503);
        let discovery = stopped.start();
        let watch = ScriptedWatch::open(&discovery);
        // The saved list has a version but no worker. The node must request a complete list, since the
        // changes since that version would list no worker either.
        assert_eq!(watch.since(), "0");
        assert_eq!(node.get("/ready").status(), 503, "the node became ready after a watch without a list");
        watch.send_endpoints(42, true, &[worker.endpoint_json("s-1", "in_service")]);
        wait_until("the node did not become ready", || node.get("/ready").status() == 200);
        node.assert_serves(&worker, "r1", "view", "s-1");
    }
}

#[test]
fn connections_exceed_descriptors_then_job_is_still_served() {
    let (discovery, worker) = (ScriptedServer::start(), ScriptedServer::start());
    let endpoints = [worker.endpoint_json("s-1", "in_service")];
    let config = node_config(discovery.address, &endpoints);
    // The node counts its connections: it closes idle ones in time and keeps descriptors for workers.
    let node = Node::start(&config.replace("1024", "64"));
    let _watch = ScriptedWatch::open_with_endpoints(&discovery, &endpoints);
    // Connections with a partial request are evicted as early as connections without a request.
    let clients: Vec<_> = (0..100).map(|i| open_request(node.address, ["", "POST /api"][i % 2])).collect();
    node.assert_serves(&worker, "r1", "view", "s-1");
    drop(clients);
    // If the configured limit is far above the system's, the system refuses descriptors, and the node keeps
    // serving.
    let node = Node::start_with_descriptor_limit(&config, 48);
    let _watch = ScriptedWatch::open_with_endpoints(&discovery, &endpoints);
    wait_until("the node did not become ready", || node.get("/ready").status() == 200);
    let _clients: Vec<_> = (0..100).map(|_| open_request(node.address, "")).collect();
    assert_eq!(node.get("/ready").status(), 200);
    assert!(node.counter("curlewusher_accept_failures_total") > 0);
}
