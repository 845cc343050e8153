use super::*;

#[test]
fn the_examples_of_the_protocol_parse() {
    let on_trial = Stage { build: 42, stage: 1, course: RolloutState::OnTrial, cap: 0.28, age_ms: 310 };
    assert_eq!(parse_line(b"OK 42 1 testing 0.28 310"), Ok(Line::Ok(Some(on_trial))));
    assert_eq!(parse_line(b"* ROLLOUT 42 1 testing 0.28 310"), Ok(Line::Stage(on_trial)));
    let sampled_totals = ControllerCounts {
        build: 42,
        method: "lookup".into(),
        picks: 57,
        failed: 2,
        mean_ms: 18.5,
        age_ms: 900,
    };
    assert_eq!(parse_line(b"* SAMPLE 42 lookup 57 2 18.5 900"), Ok(Line::Sums(sampled_totals)));
    let disputed = Line::Disputed { unit: "s-5be2a07c".into(), method: "lookup".into(), age_ms: 1200 };
    assert_eq!(parse_line(b"* DISPUTE s-5be2a07c lookup 1200"), Ok(disputed));
    assert_eq!((parse_line(b"OK"), parse_line(b"*")), (Ok(Line::Ok(None)), Ok(Line::KeepAlive)));
    assert_eq!(parse_line(b"ERR limit"), Ok(Line::Refused(Counted::Full)));
    let roll_back = Vote { marshal: 0, verdict: Verdict::Back, stage: 2, build: 42 };
    assert_eq!(format_vote(&roll_back), b"judge 42 2 back\r\n");
}

#[test]
fn malformed_lines_are_rejected() {
    for malformed in [
        "* ROLLOUT 42 1 testing 0.28",
        "* ROLLOUT 42 1 tes",
        "* ROLLOUT 42 1 testing 1.28 310",
        "* ROLLOUT 42 1 testing NaN 310",
        "OK 42 1 testing -0.1 310",
        "OK 42",
        "* SAMPLE 42 lookup 57 2",
        "ERR",
        "HTTP/1.1 200 OK",
        "",
    ] {
        assert!(parse_line(malformed.as_bytes()).is_err(), "{malformed:?}");
    }
    assert!(parse_line(b"\xff\xfe *").is_err());
}
