//! Channel for places over real sockets: many requests on one connection, and its failures.

mod support;

use std::{sync::atomic::Ordering, time::Duration};

use futures_util::future::join_all;
use rstest::rstest;
use shallotdrum_allotments::Charge;
use shallotdrum_rpc::{
    AllotmentCall, AllotmentStep, ChannelError, MAX_FRAME_BYTES, MAX_WAITING, PLACES_PROTOCOL,
    PlaceReply, PlaceRequest,
};
use shallotdrum_telemetry::Metrics;
use shallotdrum_types::ReservationId;
use support::{
    Owner, Proxy, SESSION, Step, ended, open_channel, open_measured, request, wait_until,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    task::JoinSet,
};

/// Number of the variant of a report in version 1.
const END: u8 = 1;

fn allotment(step: AllotmentStep, units: u64) -> AllotmentCall {
    AllotmentCall {
        session: SESSION,
        request: "r".parse().unwrap(),
        customer: "c".parse().unwrap(),
        units,
        group: "pool/fj/1".parse().unwrap(),
        step,
    }
}

/// Guards against fields that are lost or mixed up between the messages and their copies.
#[tokio::test]
async fn channel_messages() {
    let owner = Owner::default();
    owner.places().grants_at_once = true;
    let (_channels, channel, _) = open_channel(owner.serve().await);
    let reply = channel.take_place(request(5)).await.unwrap();
    let PlaceReply::Granted(place) = reply else { panic!("{reply:?}") };
    assert_eq!(place.target.as_str(), "t-5");
    assert_eq!(place.software, request(5).software);
    assert_eq!((place.spread, place.group_wait_ms), (Some(2), None));
    channel.end_place(ended(5));
    channel.ping().await.unwrap();
    let reports = format!("{:?}", owner.places().reports);
    assert_eq!(reports, format!("{:?}", vec![ended(5).ended]));
    let taken = channel.change_allotment(allotment(AllotmentStep::Take, 9)).await.unwrap();
    assert_eq!(taken.map(|reply| (reply.granted, reply.level)), Some((true, 9.0)));
    let returned = channel.change_allotment(allotment(AllotmentStep::Return, 9)).await;
    assert_eq!(returned, Ok(None));
    let step = AllotmentStep::Reserve { id: ReservationId(2), left_ms: 70 };
    let reserved = channel.change_allotment(allotment(step, 9)).await.unwrap().unwrap();
    assert_eq!((reserved.is_reserved, reserved.level), (true, 11.0));
    assert_eq!(reserved.room_after_ms, Some(70));
    for is_used in [true, false] {
        let step = AllotmentStep::Settle { id: ReservationId(2), is_used };
        let settled = channel.change_allotment(allotment(step, 9)).await.unwrap();
        assert_eq!(settled.map(|reply| reply.granted), Some(is_used));
    }
    let refused = channel.change_allotment(allotment(AllotmentStep::Take, 0)).await;
    assert!(matches!(refused, Err(ChannelError::Failed(_))), "{refused:?}");
}

/// Guards against a connection or descriptor for each waiting request, and replies to the wrong request.
#[tokio::test]
async fn channel_many_waiting() {
    let owner = Owner::default();
    let (_channels, channel, _) = open_channel(owner.serve().await);
    let takes: Vec<_> = (0..MAX_WAITING as u64)
        .map(|place| {
            tokio::spawn({
                let channel = channel.clone();
                async move { (place, channel.take_place(request(place)).await) }
            })
        })
        .collect();
    wait_until("all wait", || owner.places().waiting.len() == MAX_WAITING).await;
    // The bound of requests on a connection.
    let beyond = channel.take_place(request(u64::MAX)).await;
    assert_eq!(beyond.unwrap_err(), ChannelError::Overloaded);
    assert_eq!(owner.accepted.load(Ordering::Relaxed), 1);
    owner.grant_all();
    for take in takes {
        let (place, reply) = take.await.unwrap();
        let Ok(PlaceReply::Granted(granted)) = reply else { panic!("{reply:?}") };
        assert_eq!(granted.target.to_string(), format!("t-{place}"));
    }
    assert_eq!(owner.accepted.load(Ordering::Relaxed), 1);
}

/// Guards against requests that wait for ever after their connection is lost, and places that stay granted
/// to requests that have failed. Some places are granted while the connection is cut.
#[rstest]
#[case::waiting(false)]
#[case::granted_meanwhile(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn channel_lost(#[case] is_granted: bool) {
    let owner = Owner::default();
    let proxy = Proxy::start(owner.serve().await).await;
    let (_channels, channel, undelivered) = open_channel(proxy.addr);
    let takes: Vec<_> = (0..2_000)
        .map(|place| {
            tokio::spawn({
                let channel = channel.clone();
                async move { (place, channel.take_place(request(place)).await) }
            })
        })
        .collect();
    wait_until("all wait", || owner.places().waiting.len() == 2_000).await;
    if is_granted {
        owner.grant_all();
    }
    proxy.cut();
    let mut received = 0;
    for take in join_all(takes).await {
        match take.unwrap() {
            (place, Ok(PlaceReply::Granted(_))) => {
                received += 1;
                channel.end_place(ended(place));
            }
            (_, Err(ChannelError::Broken(_))) => {}
            (place, reply) => panic!("{place}: {reply:?}"),
        }
    }
    assert!(is_granted || received == 0);
    assert_eq!(channel.waiting(), 0);
    wait_until("no place is left", || {
        let places = owner.places();
        places.granted.is_empty() && places.waiting.is_empty()
    })
    .await;
    assert!(undelivered.lock().unwrap().is_empty());
    // The next request uses a new connection.
    owner.places().grants_at_once = true;
    assert!(matches!(channel.take_place(request(9_999)).await, Ok(PlaceReply::Granted(_))));
}

/// Guards against requests that stay queued at the owner, or places that stay granted, after their entry
/// dropped them.
#[rstest]
#[case::waiting(false)]
#[case::granted_meanwhile(true)]
#[tokio::test]
async fn channel_cancelled(#[case] is_granted: bool) {
    let owner = Owner::default();
    let (_channels, channel, _) = open_channel(owner.serve().await);
    let taken = tokio::spawn({
        let channel = channel.clone();
        async move { channel.take_place(request(1)).await }
    });
    wait_until("it waits", || owner.places().waiting.len() == 1).await;
    if is_granted {
        owner.grant_all();
    }
    taken.abort();
    wait_until("it is cancelled", || owner.places().steps.contains(&Step::Ended(1))).await;
    let places = owner.places();
    assert!(places.granted.is_empty() && places.waiting.is_empty());
}

/// Guards against an owner of an earlier release that gets no requests, and reports that are lost.
#[tokio::test]
async fn channel_earlier_release() {
    let owner = Owner::default();
    let addr = owner.serve_without_channel().await;
    let (channels, channel, undelivered) = open_channel(addr);
    channel.end_place(ended(3));
    let reply = channel.take_place(request(1)).await;
    assert_eq!(reply.unwrap_err(), ChannelError::Unsupported);
    wait_until("the report is handed back", || undelivered.lock().unwrap().len() == 1).await;
    // The owner is not asked again for a while.
    assert!(channels.get(addr, addr).is_none());
    let reply = channel.take_place(request(2)).await;
    assert_eq!(reply.unwrap_err(), ChannelError::Unsupported);
    assert_eq!(owner.accepted.load(Ordering::Relaxed), 1);
}

/// Guards against requests to an owner that cannot be reached, and their reports.
#[tokio::test]
async fn channel_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let (_channels, channel, undelivered) = open_channel(addr);
    channel.end_place(ended(3));
    let reply = channel.take_place(request(1)).await;
    assert!(matches!(reply, Err(ChannelError::Broken(_))), "{reply:?}");
    wait_until("the report is handed back", || undelivered.lock().unwrap().len() == 1).await;
}

/// Accepts a connection and upgrades it without serving it.
async fn accept_raw(listener: &TcpListener) -> TcpStream {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    assert!(head.starts_with(b"GET /places HTTP/1.1\r\n"));
    let reply = format!(
        "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: {PLACES_PROTOCOL}\r\n\r\n"
    );
    stream.write_all(reply.as_bytes()).await.unwrap();
    stream
}

async fn read_frame(stream: &mut TcpStream) -> Vec<u8> {
    let len = stream.read_u32().await.unwrap();
    let mut message = vec![0; len as usize];
    stream.read_exact(&mut message).await.unwrap();
    message
}

/// Guards against requests that wait for an owner that no longer runs, and a report that is lost with its
/// connection.
#[tokio::test]
async fn channel_stalled() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (_channels, channel, _) = open_channel(listener.local_addr().unwrap());
    channel.end_place(ended(8));
    let (first, reply) = tokio::join!(accept_raw(&listener), channel.take_place(request(1)));
    assert!(matches!(reply, Err(ChannelError::Broken(_))), "{reply:?}");
    // The report was written and may not have been processed, and neither may the request.
    let mut second = accept_raw(&listener).await;
    let frame = read_frame(&mut second).await;
    assert_eq!(frame[0], END);
    drop(first);
}

/// Guards against an entry that goes on with a connection after something unreadable.
#[rstest]
#[case::malformed(&[0, 0, 0, 2, 0xff, 0xff])]
#[case::trailing(&[0, 0, 0, 4, 2, 1, 1, 1])]
#[case::oversized(&(MAX_FRAME_BYTES as u32 + 1).to_be_bytes())]
#[tokio::test]
async fn channel_unreadable_reply(#[case] bytes: &[u8]) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (_channels, channel, _) = open_channel(listener.local_addr().unwrap());
    let serve = async {
        let mut stream = accept_raw(&listener).await;
        stream.write_all(bytes).await.unwrap();
        stream
    };
    let (_stream, reply) = tokio::join!(serve, channel.take_place(request(1)));
    let Err(ChannelError::Broken(error)) = reply else { panic!("{reply:?}") };
    assert!(error.contains("frame"), "{error}");
}

/// Opens a connection to an owner by hand.
async fn connect_raw(addr: std::net::SocketAddr, protocol: &str) -> (TcpStream, String) {
    upgrade_raw(TcpStream::connect(addr).await.unwrap(), protocol).await
}

async fn upgrade_raw(mut stream: TcpStream, protocol: &str) -> (TcpStream, String) {
    let head = format!(
        "GET /places HTTP/1.1\r\nHost: o\r\nConnection: upgrade\r\nUpgrade: {protocol}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    (stream, String::from_utf8(head).unwrap())
}

/// Guards against an owner that goes on with a connection after something unreadable.
#[rstest]
#[case::malformed(&[0, 0, 0, 2, 0xff, 0xff])]
#[case::oversized(&(MAX_FRAME_BYTES as u32 + 1).to_be_bytes())]
#[tokio::test]
async fn channel_unreadable_request(#[case] bytes: &[u8]) {
    let owner = Owner::default();
    let (mut stream, _) = connect_raw(owner.serve().await, PLACES_PROTOCOL).await;
    stream.write_all(bytes).await.unwrap();
    let closed = tokio::time::timeout(Duration::from_secs(5), stream.read(&mut [0; 8])).await;
    assert!(matches!(closed, Ok(Ok(0) | Err(_))), "{closed:?}");
}

/// Guards against a version that the owner does not have, which would misread the messages.
#[rstest]
#[case::known(PLACES_PROTOCOL, "101")]
#[case::list("shallotdrum-places/2, shallotdrum-places/1", "101")]
#[case::newer("shallotdrum-places/2", "426")]
#[tokio::test]
async fn channel_versions(#[case] offered: &str, #[case] status: &str) {
    let owner = Owner::default();
    let (_stream, head) = connect_raw(owner.serve().await, offered).await;
    assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
}

/// Guards against reports that wait behind requests: at the entry in the same write, and at the owner in
/// the same read.
#[tokio::test]
async fn channel_ends_overtake() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (_channels, channel, _) = open_channel(listener.local_addr().unwrap());
    let takes: Vec<_> = (1..=20)
        .map(|place| {
            tokio::spawn({
                let channel = channel.clone();
                async move { channel.take_place(request(place)).await }
            })
        })
        .collect();
    wait_until("all are queued", || channel.waiting() == 20).await;
    channel.end_place(ended(500));
    let mut entry = accept_raw(&listener).await;
    let mut frames = Vec::new();
    while frames.len() < 21 {
        frames.push(read_frame(&mut entry).await);
    }
    assert_eq!(frames.iter().position(|frame| frame[0] == END), Some(0));
    // The owner gets the report last, with the same read.
    let owner = Owner::default();
    let (mut stream, _) = connect_raw(owner.serve().await, PLACES_PROTOCOL).await;
    frames.rotate_left(1);
    let bytes: Vec<u8> = frames
        .iter()
        .flat_map(|frame| [&(frame.len() as u32).to_be_bytes(), frame.as_slice()].concat())
        .collect();
    stream.write_all(&bytes).await.unwrap();
    wait_until("all are asked", || owner.places().steps.len() == 21).await;
    let position = owner.places().steps.iter().position(|step| *step == Step::Ended(500));
    assert_eq!(position, Some(0));
    for take in takes {
        take.abort();
    }
}

/// Guards against units that stay used though the owner could not write the grant that they were taken for.
#[tokio::test]
async fn channel_unsent_units() {
    const UNITS: u64 = 9;
    // Fewer than may wait on a connection.
    const PLACES: u64 = 4_000;
    const ROUNDS: usize = 8;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (_channels, channel, _) = open_channel(listener.local_addr().unwrap());
    let mut takes = JoinSet::new();
    for place in 0..PLACES {
        let charge = Some(Charge { customer: "c".parse().unwrap(), units: UNITS });
        // Makes the replies long.
        let software = Some("v".repeat(60).parse().unwrap());
        let charged = PlaceRequest { charge, software, ..request(place) };
        let channel = channel.clone();
        takes.spawn(async move { channel.take_place(charged).await.map(drop) });
    }
    let mut entry = accept_raw(&listener).await;
    let mut bytes = Vec::new();
    for _ in 0..PLACES {
        let frame = read_frame(&mut entry).await;
        bytes.extend_from_slice(&(frame.len() as u32).to_be_bytes());
        bytes.extend_from_slice(&frame);
    }
    let owner = Owner::default();
    owner.places().grants_at_once = true;
    // Replies do not fit into the buffers of the connection.
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let stream = socket.connect(owner.serve().await).await.unwrap();
    let (mut stream, _) = upgrade_raw(stream, PLACES_PROTOCOL).await;
    for round in 1..=ROUNDS {
        stream.write_all(&bytes).await.unwrap();
        let granted = round * PLACES as usize;
        wait_until("all are granted", || owner.places().steps.len() == granted).await;
    }
    assert!(owner.places().returned.is_empty());
    drop(stream);
    wait_until("the places are released", || !owner.places().reports.is_empty()).await;
    wait_until("their units are returned", || {
        let places = owner.places();
        places.returned.len() == places.reports.len()
    })
    .await;
    let places = owner.places();
    assert!(places.returned.iter().all(|units| *units == UNITS));
    assert!(places.returned.len() < ROUNDS * PLACES as usize, "some grants were written");
}

/// Guards against counters that miss a broken connection, or what was lost and sent again with it.
#[tokio::test]
async fn channel_counters() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let metrics = Metrics::new().unwrap();
    let (_channels, channel, _) = open_measured(listener.local_addr().unwrap(), metrics.clone());
    channel.end_place(ended(8));
    let (first, reply) = tokio::join!(accept_raw(&listener), channel.take_place(request(1)));
    assert!(matches!(reply, Err(ChannelError::Broken(_))), "{reply:?}");
    let mut second = accept_raw(&listener).await;
    read_frame(&mut second).await;
    assert_eq!(metrics.place_channels_opened().get(), 2);
    assert_eq!(metrics.place_channels_broken().get(), 1);
    assert_eq!(metrics.place_channel_failures().get(), 1);
    assert_eq!(metrics.place_channel_failed_requests().get(), 1);
    assert_eq!(metrics.place_ends_resent().get(), 1);
    // A report, a request and a ping, and the reports of both places.
    assert_eq!(metrics.place_channel_frames_sent().get(), 4);
    assert_eq!(metrics.place_channel_frames_received().get(), 0);
    drop(first);
    // An owner that replies to a ping.
    let metrics = Metrics::new().unwrap();
    let (_channels, channel, _) = open_measured(Owner::default().serve().await, metrics.clone());
    channel.ping().await.unwrap();
    assert_eq!(metrics.place_channel_frames_sent().get(), 1);
    assert_eq!(metrics.place_channel_frames_received().get(), 1);
    assert_eq!(metrics.place_channels_broken().get(), 0);
}
