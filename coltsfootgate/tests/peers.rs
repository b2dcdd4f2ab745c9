//! Tests connections between instances: proof of the secret, limits, silent connections and
//! cancelled calls.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfootgate::dialect::NativeEndpoints;
use coltsfootgate::endpoint::{ConnectionPool, EndpointPaths};
use coltsfootgate::endpoints::SharedRoster;
use coltsfootgate::metrics::DaemonMetrics;
use coltsfootgate::options::PeerSecret;
use coltsfootgate::peer::{
    EndpointRules, ForwardLoad, PeerCall, PeerError, PeerHandle, PeerIdentity, PeerListener,
    RequestForwarder,
};
use coltsfootgate::routes::RouteTable;
use coltsfootgate::shutdown::shutdown_pair;
use coltsfootgate::transfer::{MemoryAccount, MemoryUse};
use coltsfootgate_core::ids::InstanceId;
use coltsfootgate_standins::proxy::start_proxy;
use coltsfootgate_wire::{
    ForwardMessage, ForwardRefusal, ForwardReply, ForwardRequest, MESSAGE_BYTES_MAX,
    PROTOCOL_VERSION, PeerReply, PeerRequest, ProofError, WireError, encode_forward_request,
};
use futures_channel::mpsc::{UnboundedReceiver, unbounded};
use futures_util::StreamExt;
use monoio::net::{ListenerOpts, TcpListener};
use monoio::{LegacyDriver, RuntimeBuilder};
use rstest::rstest;
use serde_json::json;

const SECRET: &str = "a secret of the tests";
/// The maximum duration of a wait before the test fails.
const WAIT_MAX: Duration = Duration::from_secs(10);
const ANY_PORT: &str = "127.0.0.1:0";

/// Forwards requests to no endpoints.
fn forwarder(metrics: &DaemonMetrics, memory: &MemoryAccount) -> RequestForwarder {
    let routes = RouteTable::new("a".into());
    let path = EndpointPaths::new(routes.clone(), metrics.clone());
    RequestForwarder {
        endpoints: ConnectionPool::new(path.clone(), routes.clone()),
        path,
        routes,
        roster: SharedRoster::new().0,
        rules: EndpointRules::of::<NativeEndpoints>(),
        metrics: metrics.clone(),
        memory: memory.part(MemoryUse::Forwards).clone(),
        load: ForwardLoad::default(),
        shutdown: shutdown_pair().1,
    }
}

/// The peer listener of an instance, without the rest of the instance.
struct TestPeer {
    instance: InstanceId,
    metrics: DaemonMetrics,
    calls: UnboundedReceiver<PeerCall>,
}

impl TestPeer {
    /// Starts a listener that is known by its own address or by the address that `proxy` returns.
    fn start(proxy: impl FnOnce(SocketAddr) -> Option<SocketAddr>) -> Self {
        Self::start_with(&MemoryAccount::default(), proxy)
    }

    /// Starts one that draws the memory for messages from an account.
    fn start_with(
        memory: &MemoryAccount,
        proxy: impl FnOnce(SocketAddr) -> Option<SocketAddr>,
    ) -> Self {
        let options = ListenerOpts::new().reuse_port(false);
        let listener = TcpListener::bind_with_config(ANY_PORT, &options).unwrap();
        let address = listener.local_addr().unwrap();
        let instance: InstanceId = proxy(address).unwrap_or(address).to_string().into();
        let identity = identity(&instance, SECRET);
        let metrics = DaemonMetrics::new();
        let (sender, calls) = unbounded();
        let forwarder = forwarder(&metrics, memory);
        let listener = PeerListener::new(listener, identity, metrics.clone(), sender, forwarder, 8);
        monoio::spawn(listener.serve());
        Self { instance, metrics, calls }
    }

    /// Answers every call with [`PeerReply::Accepted`].
    fn accept_all(mut self) -> InstanceId {
        let instance = self.instance.clone();
        monoio::spawn(async move {
            while let Some(call) = self.calls.next().await {
                let _ = call.reply.send(PeerReply::Accepted);
            }
        });
        instance
    }

    async fn next_call(&mut self) -> PeerCall {
        monoio::time::timeout(WAIT_MAX, self.calls.next()).await.expect("a call").unwrap()
    }

    /// Waits until a fault with the given cause is counted.
    async fn wait_for_fault(&self, cause: &str) {
        let line = format!("coltsfootgate_peer_faults_total{{cause=\"{cause}\"}}");
        let counted = async {
            while !String::from_utf8_lossy(&self.metrics.encode()).contains(&line) {
                monoio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        monoio::time::timeout(WAIT_MAX, counted).await.expect(&line);
    }
}

fn identity(instance: &InstanceId, secret: &str) -> PeerIdentity {
    PeerIdentity::new(instance.clone(), PeerSecret::new(secret)).unwrap()
}

fn caller(secret: &str) -> PeerHandle {
    let identity = identity(&"127.0.0.1:9".into(), secret);
    PeerHandle::new(identity, DaemonMetrics::new(), &MemoryAccount::default())
}

fn test_deadline() -> Instant {
    Instant::now() + WAIT_MAX
}

fn block_on<F: Future>(future: F) -> F::Output {
    RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap().block_on(future)
}

#[test]
fn a_call_carries_the_id_of_its_sender() {
    block_on(async {
        let mut peer = TestPeer::start(|_| None);
        let instance = peer.instance.clone();
        let call = monoio::spawn(async move {
            caller(SECRET).call(&instance, PeerRequest::FetchHead, test_deadline()).await
        });
        let received = peer.next_call().await;
        assert_eq!(&*received.from, "127.0.0.1:9");
        assert_eq!(received.request, PeerRequest::FetchHead);
        received.reply.send(PeerReply::Head(None)).unwrap();
        assert_eq!(call.await, Ok(PeerReply::Head(None)));
    });
}

#[test]
fn a_stored_value_of_the_maximum_size_is_transferred() {
    block_on(async {
        let mut peer = TestPeer::start(|_| None);
        let instance = peer.instance.clone();
        let request = PeerRequest::FetchObject("0".repeat(64).into());
        let call =
            monoio::spawn(
                async move { caller(SECRET).call(&instance, request, test_deadline()).await },
            );
        let object = PeerReply::Object(Some(vec![7; 1 << 20]));
        peer.next_call().await.reply.send(object.clone()).unwrap();
        assert_eq!(call.await, Ok(object));
    });
}

#[test]
fn a_peer_with_another_secret_is_refused_on_both_sides() {
    block_on(async {
        let mut peer = TestPeer::start(|_| None);
        let unauthorized = caller("another secret of tests");
        let result =
            unauthorized.call(&peer.instance, PeerRequest::FetchHead, test_deadline()).await;
        // The accepting side closes without a proof of its own.
        assert!(matches!(result, Err(PeerError::Unreachable(_))), "{result:?}");
        peer.wait_for_fault("wrong-proof").await;
        assert!(peer.calls.try_recv().is_err());
    });
}

#[test]
fn a_proof_meant_for_another_instance_is_refused() {
    block_on(async {
        // The listener is known under another address than the one that is called.
        let other = "127.0.0.1:7".parse().unwrap();
        let mut listens_at = None;
        let peer = TestPeer::start(|address| {
            listens_at = Some(address);
            Some(other)
        });
        let called: InstanceId = listens_at.unwrap().to_string().into();
        let result = caller(SECRET).call(&called, PeerRequest::FetchHead, test_deadline()).await;
        assert!(matches!(result, Err(PeerError::Unreachable(_))), "{result:?}");
        peer.wait_for_fault(ProofError::WrongAddress.name()).await;
    });
}

/// The hello message of the peer protocol, with the given version.
fn hello(version: u16) -> Vec<u8> {
    [b"cfgpeer\n".as_slice(), &version.to_be_bytes(), &[0; 68]].concat()
}

#[rstest]
#[case::http(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n".repeat(8), "wrong-magic")]
#[case::random(vec![0xa5; 4096], "wrong-magic")]
#[case::unknown_version(hello(77), "unknown-version")]
#[case::cut_short(hello(PROTOCOL_VERSION)[..20].to_vec(), "broken")]
#[case::for_another_address([hello(PROTOCOL_VERSION), vec![1; 32]].concat(), "wrong-address")]
fn invalid_bytes_close_only_their_own_connection(#[case] bytes: Vec<u8>, #[case] cause: &str) {
    block_on(async {
        let peer = TestPeer::start(|_| None);
        let address: SocketAddr = peer.instance.parse().unwrap();
        let client = std::thread::spawn(move || {
            let mut stream = std::net::TcpStream::connect(address).unwrap();
            let _ = stream.write_all(&bytes);
            let _ = stream.shutdown(std::net::Shutdown::Write);
            let mut answer = Vec::new();
            let _ = stream.read_to_end(&mut answer);
            answer
        });
        peer.wait_for_fault(cause).await;
        let instance = peer.accept_all();
        let result = caller(SECRET).call(&instance, PeerRequest::FetchHead, test_deadline()).await;
        assert_eq!(result, Ok(PeerReply::Accepted));
        // A client that does not know the secret receives nothing that was computed from it.
        assert!(client.join().unwrap().is_empty());
    });
}

#[test]
fn a_message_that_is_too_large_is_not_sent() {
    block_on(async {
        let instance = TestPeer::start(|_| None).accept_all();
        let name = "x".repeat(MESSAGE_BYTES_MAX).into();
        let result =
            caller(SECRET).call(&instance, PeerRequest::AskAbout(name), test_deadline()).await;
        assert!(matches!(result, Err(PeerError::Invalid(WireError::TooLarge(_)))), "{result:?}");
    });
}

#[test]
fn an_invalid_message_is_refused_without_closing_the_connection() {
    block_on(async {
        let peer = TestPeer::start(|_| None);
        let metrics = peer.metrics.clone();
        let instance = peer.accept_all();
        let caller = caller(SECRET);
        let wrong = PeerRequest::AskAbout("not an address".into());
        assert_eq!(caller.call(&instance, wrong, test_deadline()).await, Err(PeerError::Unhandled));
        let result = caller.call(&instance, PeerRequest::FetchHead, test_deadline()).await;
        assert_eq!(result, Ok(PeerReply::Accepted));
        let text = String::from_utf8(metrics.encode()).unwrap();
        assert!(text.contains("peer_faults_total{cause=\"invalid-message\"} 1"), "{text}");
    });
}

#[test]
fn dropping_a_call_cancels_it_at_the_peer() {
    block_on(async {
        let mut peer = TestPeer::start(|_| None);
        let (caller, instance) = (caller(SECRET), peer.instance.clone());
        let mut call = Box::pin(caller.call(&instance, PeerRequest::FetchHead, test_deadline()));
        let received = monoio::select! {
            received = peer.next_call() => received,
            _ = &mut call => unreachable!("the peer has not answered"),
        };
        drop(call);
        let mut reply = received.reply;
        let cancelled = monoio::time::timeout(WAIT_MAX, reply.cancellation()).await;
        assert!(cancelled.is_ok(), "the peer was not notified that the call was cancelled");
    });
}

#[test]
fn a_silent_connection_is_replaced() {
    block_on(async {
        let mut proxy = None;
        let mut peer = TestPeer::start(|target| {
            let started = start_proxy(ANY_PORT.parse().unwrap(), target).unwrap();
            let address = started.address;
            proxy = Some(started);
            Some(address)
        });
        let proxy = proxy.unwrap();
        let (caller, instance) = (caller(SECRET), peer.instance.clone());
        let mut waiting = Box::pin(caller.call(&instance, PeerRequest::FetchHead, test_deadline()));
        let received = monoio::select! {
            received = peer.next_call() => received,
            _ = &mut waiting => unreachable!("the peer has not answered"),
        };
        proxy.control.send(&json!({"silence_existing": true})).unwrap();
        let result = waiting.await;
        assert!(matches!(result, Err(PeerError::Broken(_))), "{result:?}");
        let mut lost_reply = received.reply;
        let second = monoio::spawn(async move {
            caller.call(&instance, PeerRequest::FetchHead, test_deadline()).await
        });
        peer.next_call().await.reply.send(PeerReply::Accepted).unwrap();
        assert_eq!(second.await, Ok(PeerReply::Accepted));
        // At the peer, too, the new connection replaces the silent one and cancels its calls.
        let cancelled = monoio::time::timeout(WAIT_MAX, lost_reply.cancellation()).await;
        assert!(cancelled.is_ok(), "a call on the silent connection was not cancelled");
    });
}

#[test]
fn a_call_to_a_closed_port_is_reported_as_not_received() {
    block_on(async {
        let listener = std::net::TcpListener::bind(ANY_PORT).unwrap();
        let closed: InstanceId = listener.local_addr().unwrap().to_string().into();
        drop(listener);
        let result = caller(SECRET).call(&closed, PeerRequest::FetchHead, test_deadline()).await;
        assert!(matches!(result, Err(PeerError::Unreachable(_))), "{result:?}");
    });
}

#[test]
fn connections_above_the_limit_are_closed() {
    block_on(async {
        let peer = TestPeer::start(|_| None);
        let address: SocketAddr = peer.instance.parse().unwrap();
        let connections: Vec<_> =
            (0..9).map(|_| std::net::TcpStream::connect(address).unwrap()).collect();
        let line = "coltsfootgate_connections_refused_total{side=\"peers\"} 1";
        let counted = async {
            while !String::from_utf8_lossy(&peer.metrics.encode()).contains(line) {
                monoio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        monoio::time::timeout(WAIT_MAX, counted).await.expect(line);
        drop(connections);
    });
}

/// A request with a body of a size, for an endpoint that the other instance does not know.
fn message_to_forward(body_bytes: usize) -> ForwardMessage {
    let request = ForwardRequest {
        pool: "pools.p".into(),
        endpoint: "e".into(),
        attempt: "a".into(),
        method: "POST".into(),
        path: "/".into(),
        headers: Vec::new(),
        body: vec![b'x'; body_bytes].into(),
        head_timeout: WAIT_MAX,
        silence: WAIT_MAX,
    };
    encode_forward_request(request).unwrap()
}

/// Guards against messages of other instances that fill the memory: what does not fit is refused by its announced
/// size, as certainly not sent, and what does is handled.
#[rstest]
#[case::fits(30_000, Ok(ForwardReply::Refused(ForwardRefusal::EndpointUnknown)))]
#[case::does_not_fit(900_000, Err(PeerError::MemoryFull))]
fn a_request_to_forward_is_refused_if_no_memory_is_left(
    #[case] body_bytes: usize,
    #[case] expected: Result<ForwardReply, PeerError>,
) {
    block_on(async {
        let memory = MemoryAccount::new(1);
        let peer = TestPeer::start_with(&memory, |_| None);
        let caller = caller(SECRET);
        for _ in 0..3 {
            let answer = caller.forward(&peer.instance, message_to_forward(body_bytes));
            let answer = monoio::time::timeout(WAIT_MAX, answer).await.unwrap();
            assert_eq!(answer.map(|answer| answer.reply), expected);
        }
        // The connection is of use for other calls, and nothing is held any more.
        let instance = peer.accept_all();
        let reply = caller.call(&instance, PeerRequest::FetchHead, test_deadline()).await;
        assert_eq!(reply, Ok(PeerReply::Accepted));
        assert_eq!(memory.part(MemoryUse::Forwards).held(), 0);
    });
}
