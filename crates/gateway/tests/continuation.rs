//! Order of the events of streams over the responses of several targets.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, StatusCode};
use rstest::rstest;
use shallotdrum_gateway::{
    ContinuationError, EventOrder, PositionUnknown, check_head, is_event_stream,
};

/// Events with these ids.
fn events(ids: &[&str]) -> Bytes {
    ids.iter().map(|id| event(id)).collect::<String>().into()
}

fn event(id: &str) -> String {
    match id {
        "" => "data: token\n\n".to_owned(),
        id => format!("id: {id}\ndata: token\n\n"),
    }
}

/// Order of a stream of which a target has sent events with these ids.
fn delivered(ids: &[&str]) -> EventOrder {
    let mut order = EventOrder::new(None);
    for id in ids {
        let event = events(&[id]);
        assert_eq!(order.admit(&event), (event, Ok(())));
    }
    order
}

/// Guards against events that are missing, come twice or out of order after a resumption.
#[rstest]
#[case::next(&["1", "2"], &["3", "4"], 2)]
#[case::next_after_first(&["1"], &["2", "3"], 2)]
#[case::from_start(&["1", "2"], &["1", "2", "3"], 0)]
#[case::last_again(&["1", "2"], &["2", "3"], 0)]
#[case::first_again(&["1"], &["1"], 0)]
#[case::gap(&["1", "2"], &["4"], 0)]
#[case::gap_after_first(&["1"], &["3"], 0)]
#[case::gap_later(&["1", "2"], &["3", "5"], 1)]
#[case::again_later(&["1", "2"], &["3", "3"], 1)]
#[case::backwards_later(&["1", "2"], &["3", "4", "2"], 2)]
#[case::same_step(&["10", "20", "30"], &["40", "50"], 2)]
#[case::gap_by_step(&["10", "20", "30"], &["50"], 0)]
#[case::between_steps(&["10", "20", "30"], &["35"], 0)]
#[case::step_seen_once(&["10", "20"], &["25"], 1)]
// Nothing shows by how much these ids increase.
#[case::step_unknown(&["5"], &["9", "11"], 2)]
#[case::step_unknown_backwards(&["5"], &["4"], 0)]
#[case::steps_vary(&["1", "4", "5"], &["9", "10"], 2)]
#[case::steps_vary_last_again(&["1", "4", "5"], &["5"], 0)]
#[case::no_id(&["1", "2"], &[""], 0)]
#[case::no_id_later(&["1", "2"], &["3", ""], 1)]
#[case::text_as_id(&["1", "2"], &["three"], 0)]
#[case::signed_number(&["1", "2"], &["+3"], 0)]
#[case::largest(&["18446744073709551614"], &["18446744073709551615", "1"], 1)]
#[case::too_large(&["1", "2"], &["18446744073709551616"], 0)]
fn events_after_resumption(
    #[case] before: &[&str],
    #[case] after: &[&str],
    #[case] admitted: usize,
    #[values(true, false)] at_once: bool,
) {
    let mut order = delivered(before);
    assert_eq!(order.resume_after(), Ok(before.last().copied()));
    order.begin_resumption();
    assert!(order.lacks_event());
    let mut received = Vec::new();
    let parts = match at_once {
        true => vec![events(after)],
        false => after.iter().map(|id| events(&[id])).collect(),
    };
    let refused = parts.iter().any(|part| {
        let (events, checked) = order.admit(part);
        received.extend(events);
        checked.is_err()
    });
    assert_eq!(Bytes::from(received), events(&after[..admitted]));
    assert_eq!(refused, admitted < after.len());
    assert_eq!(order.lacks_event(), admitted == 0);
    let last = after[..admitted].last().or(before.last());
    assert_eq!(order.resume_after(), Ok(last.copied()));
}

/// Guards against bytes that are no events of the stream, after a resumption.
#[rstest]
#[case::text("the stream went on elsewhere\n\n", "", false)]
#[case::head("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", "", false)]
#[case::head_with_id("HTTP/1.1 200 OK\r\nid: 3\r\n\r\n", "", false)]
#[case::headers("server: other\r\ncontent-length: 0\r\n\r\n", "", false)]
#[case::json("{\"id\": 3}\n\n", "", false)]
#[case::page("<html>\nid: 3\n</html>\n\n", "", false)]
#[case::event_without_data("id: 3\n\n", "id: 3\n\n", true)]
#[case::event_with_version("x-version: 7\nid: 3\ndata\n\n", "x-version: 7\nid: 3\ndata\n\n", true)]
#[case::carriage_returns("id: 3\r\ndata: c\r\n\r\n", "id: 3\r\ndata: c\r\n\r\n", true)]
#[case::mixed_line_ends("id: 3\ndata: c\n\r\n", "id: 3\ndata: c\n\r\n", true)]
#[case::last_id_counts("id: 1\nid: 3\n\n", "id: 1\nid: 3\n\n", true)]
#[case::id_reset("id: 3\nid:\n\n", "", false)]
// A comment before the first event is not part of the stream; a later one may keep it alive.
#[case::comment_first(": reading\n\nid: 3\ndata: c\n\n", "id: 3\ndata: c\n\n", true)]
#[case::comment_later("id: 3\ndata: c\n\n: wait\n\n", "id: 3\ndata: c\n\n: wait\n\n", true)]
#[case::comments_only(": reading\n\n\n\n", "", true)]
#[case::retry_first("retry: 1000\n\nid: 3\ndata: c\n\n", "id: 3\ndata: c\n\n", true)]
#[case::retry_later("id: 3\ndata: c\n\nretry: 1000\n\n", "id: 3\ndata: c\n\nretry: 1000\n\n", true)]
#[case::retry_only("retry: 1000\n\n", "", true)]
#[case::text_later("id: 3\ndata: c\n\ntext\n\n", "id: 3\ndata: c\n\n", false)]
fn bytes_after_resumption(#[case] part: &str, #[case] admitted: &str, #[case] is_sound: bool) {
    let mut order = delivered(&["1", "2"]);
    order.begin_resumption();
    let (events, checked) = order.admit(&part.to_owned().into());
    assert_eq!((&events[..], checked.is_ok()), (admitted.as_bytes(), is_sound));
    assert_eq!(order.lacks_event(), admitted.is_empty());
}

/// Guards against resuming a stream at an older event than the one that was delivered last.
#[rstest]
#[case::nothing(&[], Ok(None))]
#[case::ids(&["1", "2"], Ok(Some("2")))]
#[case::kept_as_written(&["007"], Ok(Some("007")))]
#[case::no_ids(&["", ""], Err(PositionUnknown))]
#[case::last_without_id(&["1", "2", ""], Err(PositionUnknown))]
#[case::last_with_id(&["1", "", "3"], Ok(Some("3")))]
#[case::text(&["e1", "e2"], Err(PositionUnknown))]
#[case::text_after_number(&["1", "e2"], Err(PositionUnknown))]
fn position(#[case] ids: &[&str], #[case] expected: Result<Option<&str>, PositionUnknown>) {
    assert_eq!(delivered(ids).resume_after(), expected);
}

/// Guards against changing or breaking off what a single target sends.
#[rstest]
#[case::varying_steps("id: 1\n\nid: 4\n\nid: 5\n\nid: 100\n\n")]
#[case::comment(": reading\n\nid: 1\ndata: a\n\n")]
#[case::retry("retry: 100\n\nid: 1\ndata: a\n\n")]
#[case::no_ids("data: a\n\ndata: b\n\n")]
#[case::text_ids("id: b\ndata\n\nid: a\ndata\n\n")]
#[case::other("text\n\nid: 1\ndata: a\n\n")]
fn response_of_one_target(#[case] part: &'static str) {
    let mut order = EventOrder::new(None);
    let part = Bytes::from_static(part.as_bytes());
    assert_eq!(order.admit(&part), (part, Ok(())));
    assert!(!order.lacks_event());
}

/// Guards against a target that sends an event of its own stream twice.
#[rstest]
#[case::again(&["1", "2", "2"])]
#[case::backwards(&["1", "2", "1"])]
#[case::text_again(&["a", "b", "b"])]
fn event_twice_in_one_response(#[case] ids: &[&str]) {
    let (admitted, checked) = EventOrder::new(None).admit(&events(ids));
    assert_eq!(admitted, events(&ids[..2]));
    assert!(matches!(checked, Err(ContinuationError::OutOfOrder { .. })), "{checked:?}");
}

/// Guards against events that a caller has, in a stream that it takes up itself.
#[rstest]
#[case::next("3", &["4", "5"], true)]
// Nothing shows by how much the ids of this stream increase.
#[case::later("3", &["6", "8", "9"], true)]
#[case::last_again("3", &["3"], false)]
#[case::from_start("3", &["1"], false)]
#[case::no_id("3", &[""], false)]
#[case::other_ids("e3", &["e1"], true)]
#[case::other_last_again("e3", &["e3"], false)]
fn caller_takes_up(#[case] last: &str, #[case] ids: &[&str], #[case] is_sound: bool) {
    let mut order = EventOrder::new(Some(last));
    assert_eq!(order.admit(&events(ids)).1.is_ok(), is_sound);
}

/// Guards against a step that is learnt from the distance between two responses.
#[test]
fn step_of_one_response() {
    let mut order = delivered(&["5"]);
    order.begin_resumption();
    // Nothing is known before, so that these may be all.
    assert_eq!(order.admit(&events(&["9"])).1, Ok(()));
    order.begin_resumption();
    assert_eq!(order.admit(&events(&["11", "12"])).1, Ok(()));
    assert_eq!(order.resume_after(), Ok(Some("12")));
    order.begin_resumption();
    let gap = ContinuationError::Gap { found: 14, expected: 13 };
    assert_eq!(order.admit(&events(&["14"])).1, Err(gap));
}

/// Guards against going on with a stream by a response that is none.
#[rstest]
#[case::same(200, &[("content-type", "text/event-stream")], true)]
#[case::parameter(200, &[("content-type", "Text/Event-Stream ; charset=utf-8")], true)]
#[case::no_type(200, &[], true)]
#[case::not_encoded(200, &[("content-encoding", "identity")], true)]
#[case::no_content(204, &[("content-type", "text/event-stream")], false)]
#[case::partial(206, &[("content-type", "text/event-stream")], false)]
#[case::redirect(302, &[], false)]
#[case::not_found(404, &[], false)]
#[case::failed(500, &[], false)]
#[case::text(200, &[("content-type", "text/plain")], false)]
#[case::json(200, &[("content-type", "application/json")], false)]
#[case::longer_type(200, &[("content-type", "text/event-streams")], false)]
#[case::encoded(200, &[("content-type", "text/event-stream"), ("content-encoding", "gzip")], false)]
fn head(#[case] status: u16, #[case] fields: &[(&'static str, &str)], #[case] is_sound: bool) {
    let field = |(name, value): &(&'static str, &str)| {
        (HeaderName::from_static(name), value.parse().unwrap())
    };
    let headers: HeaderMap = fields.iter().map(field).collect();
    let status = StatusCode::from_u16(status).unwrap();
    assert_eq!(check_head(StatusCode::OK, status, &headers).is_ok(), is_sound);
    if status == StatusCode::OK {
        assert_eq!(is_event_stream(status, &headers), is_sound);
    }
}
