//! Tests `explain`: the history of a request from logs.

use anvilhook_ctl::{Environment, Exit, run};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const LOG: &str = "\
 0.1 edge {\"time_ms\":100,\"instance\":\"a\",\"level\":\"info\",\"event\":\"config_adopted\",\"version\":6,\"before\":null}
{\"time_ms\":150,\"instance\":\"a\",\"level\":\"info\",\"event\":\"config_adopted\",\"version\":7,\"before\":6}
{\"time_ms\":160,\"instance\":\"b\",\"level\":\"info\",\"event\":\"config_adopted\",\"version\":8,\"before\":7}
{\"time_ms\":180,\"instance\":\"c\",\"level\":\"info\",\"event\":\"order_given\",\"upstream\":\"u1\",\"outcome\":\"taken\"}
rubbish between the lines
{\"time_ms\":250,\"instance\":\"a\",\"level\":\"warn\",\"event\":\"attempt_failed\",\"request\":\"r1\",\"upstream\":\"u1\",\"verdict\":\"not-run\",\"cause\":\"no_connection\"}
{\"time_ms\":200,\"instance\":\"a\",\"level\":\"info\",\"event\":\"placed\",\"request\":\"r1\",\"upstream\":\"u1\",\"source\":null}
{\"time_ms\":240,\"instance\":\"a\",\"level\":\"info\",\"event\":\"placed\",\"request\":\"other\",\"upstream\":\"u2\"}
{\"time_ms\":260,\"instance\":\"a\",\"level\":\"warn\",\"event\":\"concluded\",\"request\":\"r1\",\"status\":503,\"reason\":\"no_connection\"}
{\"time_ms\":270,\"instance\":\"a\",\"level\":\"info\",\"event\":\"config_adopted\",\"version\":9,\"before\":7}
";

/// Runs the command on a log file with the given name. Each test uses its own name.
async fn explain(name: &str, rest: &[&str]) -> (Exit, String, String) {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, LOG).expect("a temporary file");
    let path = path.to_str().expect("text").to_owned();
    let line: Vec<&str> = [&["explain"], rest, &[path.as_str()]].concat();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let environment = Environment::default();
    let exit = run(&line, &environment, &mut rng, &mut out, &mut err).await;
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (exit, text(out), text(err))
}

#[tokio::test]
async fn verify_the_history_is_ordered_and_includes_the_cached_state_at_its_end() {
    let (exit, out, _) = explain("history.log", &["r1"]).await;

    assert_eq!(exit, Exit::Done);
    let expected = "\
request r1
      0 ms  a  placed  upstream=u1
     50 ms  a  attempt_failed  cause=no_connection upstream=u1 verdict=not-run
     60 ms  a  concluded  reason=no_connection status=503
believed at its end:
  config  110 ms old  a  config_adopted  before=6 version=7
  upstream  80 ms old  c  order_given  outcome=taken upstream=u1
";
    assert_eq!(out, expected);
}

#[tokio::test]
async fn verify_the_history_as_json() {
    for flags in [&["r1", "--json"][..], &["r1", "-o", "json"][..]] {
        let (exit, out, _) = explain("history-json.log", flags).await;

        assert_eq!(exit, Exit::Done);
        let history: serde_json::Value = serde_json::from_str(&out).expect("JSON");
        assert_eq!(history["lines"].as_array().map(Vec::len), Some(3));
        assert_eq!(history["beliefs"][0]["age_ms"], 110);
    }
}

#[tokio::test]
async fn verify_an_unknown_request_and_a_missing_file_are_reported() {
    let (exit, out, err) = explain("unknown.log", &["r9"]).await;
    assert_eq!((exit, out.as_str()), (Exit::NotFound, ""));
    assert!(err.contains("r9"), "{err}");

    let (exit, _, err) = explain("missing.log", &["r1", "/nowhere/at/all"]).await;
    assert_eq!(exit, Exit::BadInput);
    assert!(err.contains("/nowhere/at/all"), "{err}");
}
