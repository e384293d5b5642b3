//! Ledger of non-repeatable calls.

mod common;

use common::{Log, answer, attempt, call_key};
use rstest::rstest;
use shallotdrum_control::{
    BeginOutcome, Command, CommandError, LEDGER_LIFETIME_MS, MAX_LEDGER_CALLS,
    MAX_RECORDED_BODY_BYTES, MAX_RECORDED_BYTES, RecordedAnswer, Reply,
};
use shallotdrum_types::SessionId;

fn refused(error: CommandError) -> Reply {
    Reply::Refused(error)
}

/// State with two sessions, and a call that the first one has begun.
fn log_with_call() -> (Log, SessionId, SessionId) {
    let mut log = Log::default();
    let (a, b) = (log.open("fj-a", 1), log.open("fj-b", 1));
    assert_eq!(log.begin("k", "body", a), BeginOutcome::Begun);
    (log, a, b)
}

/// Guards against a call that is sent again while an attempt is in progress, after it was answered,
/// or under the key of another call.
#[test]
fn begin_again() {
    let (mut log, a, b) = log_with_call();
    assert_eq!(log.begin("k", "body", b), BeginOutcome::InProgress);
    assert_eq!(log.begin("k", "body", a), BeginOutcome::InProgress);
    assert_eq!(log.begin("k", "other", b), BeginOutcome::KeyReused);
    assert_eq!(log.finish("k", b, Some(answer("b"))), refused(CommandError::NoCall));
    assert_eq!(log.finish("k", a, Some(answer("a"))), Reply::Done);
    assert_eq!(log.begin("k", "body", b), BeginOutcome::Answered(answer("a")));
    assert_eq!(log.begin("k", "other", b), BeginOutcome::KeyReused);
    let mut other = answer("x");
    other.status = 500;
    assert_eq!(log.finish("k", a, Some(answer("a"))), Reply::Done);
    assert_eq!(log.finish("k", a, Some(other)), refused(CommandError::CallFinished));
    assert_eq!(log.finish("k", a, None), refused(CommandError::CallFinished));
    assert_eq!(log.begin("k", "body", b), BeginOutcome::Answered(answer("a")));
}

/// Guards against a call that is sent again after its session has ended, and against the loss of an
/// answer that is recorded after that.
#[rstest]
#[case::end_session(false)]
#[case::new_process(true)]
fn finish_after_end(#[case] is_restart: bool) {
    let (mut log, a, b) = log_with_call();
    match is_restart {
        true => drop(log.open("fj-a", 2)),
        false => drop(log.apply(Command::EndSession { session: a })),
    }
    assert_eq!(log.begin("k", "body", b), BeginOutcome::Unknown);
    let call = log.state.call(&call_key("k")).unwrap();
    assert!(log.state.is_call_unknown(call));
    assert_eq!(log.finish("k", b, Some(answer("b"))), refused(CommandError::NoCall));
    assert_eq!(log.begin("k", "body", b), BeginOutcome::Unknown);
    assert_eq!(log.finish("k", a, Some(answer("a"))), Reply::Done);
    assert_eq!(log.begin("k", "body", b), BeginOutcome::Answered(answer("a")));
}

/// Guards against a call with an unknown result that is abandoned and sent again.
#[test]
fn finish_unknown() {
    let (mut log, a, b) = log_with_call();
    assert_eq!(log.finish("k", a, None), Reply::Done);
    assert_eq!(log.begin("k", "body", b), BeginOutcome::Unknown);
    let abandon = Command::AbandonCall { key: call_key("k"), session: a, attempt: attempt(1) };
    assert_eq!(log.refused(abandon), CommandError::CallFinished);
    assert_eq!(log.begin("k", "body", a), BeginOutcome::Unknown);
}

/// Guards against a key that stays in use after its call was abandoned, or that is freed by another
/// session.
#[test]
fn abandon_frees_key() {
    let (mut log, a, b) = log_with_call();
    let abandon =
        |session| Command::AbandonCall { key: call_key("k"), session, attempt: attempt(1) };
    assert_eq!(log.refused(abandon(b)), CommandError::NoCall);
    assert_eq!(log.apply(abandon(a)), Reply::Done);
    assert_eq!(log.begin("k", "body", b), BeginOutcome::Begun);
    assert_eq!(log.refused(abandon(a)), CommandError::NoCall);
    assert_eq!(log.finish("k", a, Some(answer("a"))), refused(CommandError::NoCall));
}

/// Guards against a call that is never sent because the reply to `BeginCall` was lost, and against
/// a delayed `AbandonCall` that frees the key of a later call.
#[test]
fn begin_resent() {
    let (mut log, a, b) = log_with_call();
    assert_eq!(log.begin_attempt("k", "body", a, 1), BeginOutcome::Begun);
    assert_eq!(log.begin_attempt("k", "body", b, 1), BeginOutcome::InProgress);
    let abandon = Command::AbandonCall { key: call_key("k"), session: a, attempt: attempt(1) };
    assert_eq!(log.apply(abandon.clone()), Reply::Done);
    assert_eq!(log.begin("k", "body", a), BeginOutcome::Begun);
    assert_eq!(log.refused(abandon), CommandError::NoCall);
    assert_eq!(log.begin_attempt("k", "body", a, 1), BeginOutcome::InProgress);
}

/// Guards against a call that is begun by a session that has ended.
#[test]
fn begin_ended_session() {
    let (mut log, a, _) = log_with_call();
    log.apply(Command::EndSession { session: a });
    let fingerprint = shallotdrum_types::Fingerprint::of(b"x");
    let key = call_key("new");
    let begin = Command::BeginCall { key, fingerprint, session: a, attempt: attempt(9) };
    assert_eq!(log.refused(begin), CommandError::NoSession(a));
}

/// Guards against calls that expire too early or never.
#[test]
fn tick_expires_calls() {
    let (mut log, a, _) = log_with_call();
    log.finish("k", a, Some(answer("a")));
    log.now = LEDGER_LIFETIME_MS - 1;
    log.apply(Command::Tick);
    assert_eq!(log.begin("k", "body", a), BeginOutcome::Answered(answer("a")));
    // A leader whose clock is behind neither reverts control time nor delays the expiry.
    log.now = 0;
    log.apply(Command::Tick);
    assert_eq!(log.state.now().0, LEDGER_LIFETIME_MS - 1);
    log.now = LEDGER_LIFETIME_MS;
    log.apply(Command::Tick);
    assert_eq!(log.state.ledger_len(), 0);
    assert_eq!(log.begin("k", "body", a), BeginOutcome::Begun);
}

/// Guards against a ledger that grows without limit, or that drops calls before they expire.
#[test]
fn begin_ledger_full() {
    let mut log = Log::default();
    let a = log.open("fj-a", 1);
    for i in 0..MAX_LEDGER_CALLS {
        log.now = i as u64;
        assert_eq!(log.begin(&format!("k{i}"), "body", a), BeginOutcome::Begun);
    }
    let fingerprint = shallotdrum_types::Fingerprint::of(b"body");
    let key = call_key("one-more");
    let begin = Command::BeginCall { key, fingerprint, session: a, attempt: attempt(0) };
    assert_eq!(log.refused(begin.clone()), CommandError::LedgerFull);
    assert_eq!(log.begin("k0", "body", a), BeginOutcome::InProgress);
    log.now = LEDGER_LIFETIME_MS;
    assert_eq!(log.apply(begin), Reply::Begin(BeginOutcome::Begun));
    assert_eq!(log.state.ledger_len(), MAX_LEDGER_CALLS);
}

/// Guards against recorded answers that exceed the memory limit, and against truncated bodies that
/// look complete.
#[test]
fn finish_large_answers() {
    let (mut log, a, _) = log_with_call();
    let large = "x".repeat(MAX_RECORDED_BODY_BYTES + 1);
    log.finish("k", a, Some(answer(&large)));
    let kept = RecordedAnswer { body: None, ..answer("") };
    assert_eq!(log.begin("k", "body", a), BeginOutcome::Answered(kept));

    let largest = answer(&"x".repeat(MAX_RECORDED_BODY_BYTES));
    let fitting = MAX_RECORDED_BYTES / MAX_RECORDED_BODY_BYTES;
    let mut kept = 0;
    for i in 0..fitting + 2 {
        let key = format!("k{i}");
        log.begin(&key, "body", a);
        log.finish(&key, a, Some(largest.clone()));
        match log.begin(&key, "body", a) {
            BeginOutcome::Answered(answer) if answer == largest => kept += 1,
            BeginOutcome::Answered(answer) => {
                assert_eq!((answer.status, answer.body), (200, None));
            }
            outcome => panic!("{outcome:?}"),
        }
    }
    assert_eq!(kept, fitting - 1);
}
