//! `milletlock report`: reading a log and rendering the page of its recoveries.

use milletlock::report::{RecoveryLog, ReportError};

const OTHER_EVENT: &str = r#"{"level":"INFO","message":"started","label":"c-0"}"#;

fn recovery_line(token: u64, after_s: f64, unheard: u64, starts: u64) -> String {
    let settled = if unheard == 0 { ",\"settled_s\":1.5" } else { "" };
    format!(
        "{{\"level\":\"INFO\",\"message\":\"recovery\",\"token\":{token},\"after_s\":{after_s},\"machines\":40,\
         \"unheard\":{unheard},\"adopted\":12,\"finished\":3,\"starts\":{starts},\"halts\":1,\"forgets\":2{settled}}}"
    )
}

fn log(lines: &[String]) -> String {
    lines.iter().map(|line| format!("{line}\n")).collect()
}

#[test]
fn the_page_shows_the_counts_and_charts_of_each_recovery() {
    let lines = [
        OTHER_EVENT.into(),
        recovery_line(7, 0.5, 30, 0),
        recovery_line(7, 1.5, 0, 9),
        recovery_line(8, 0.5, 4, 0),
    ];
    let log = RecoveryLog::read(log(&lines).as_bytes()).expect("a log");
    assert_eq!(log.recoveries.iter().map(Vec::len).collect::<Vec<_>>(), [2, 1]);
    let page = log.page().expect("a page");
    assert!(page.contains("Token 7") && page.contains("40 machines, all machines had reported"), "{page}");
    assert!(page.contains("12 tasks adopted, 3 discrepancies; 9 starts, 1 halts, 2 forgets"));
    assert!(page.contains("Token 8") && page.contains("4 machines had not reported by the end of the log"));
    assert_eq!(page.matches("<svg").count(), 4, "two charts for each recovery");
    assert!(!page.contains("<script") && !page.contains("href"), "the page is not self-contained");
    assert!(!page.contains("Not all of the log"));
}

#[test]
fn lines_that_cannot_be_read_are_counted_and_reported_on_the_page() {
    let whole = log(&[recovery_line(7, 0.5, 30, 0), "not ours".into(), recovery_line(7, 1.5, 0, 9)]);
    let truncated = &whole[..whole.len() - 30];
    let log = RecoveryLog::read(truncated.as_bytes()).expect("a log with a readable part");
    assert_eq!(log.recoveries[0].len(), 1);
    assert_eq!(log.omissions(), "; 1 lines could not be read; the last line is cut off");
    assert!(log.page().expect("a page").contains("Not all of the log is shown"));
    let wrong_type = recovery_line(7, 0.5, 30, 0).replace("\"token\":7", "\"token\":\"seven\"");
    let log = RecoveryLog::read(format!("{wrong_type}\n{}\n", recovery_line(7, 1.0, 2, 0)).as_bytes())
        .expect("a log");
    assert_eq!(log.omissions(), "; 1 lines could not be read");
}

#[test]
fn a_file_without_a_recovery_is_refused_with_a_reason_of_one_line() {
    assert!(matches!(RecoveryLog::read(b" \n\n"), Err(ReportError::Empty)));
    assert!(matches!(RecoveryLog::read(b"INFO started label=c-0\n"), Err(ReportError::NotALog)));
    assert!(matches!(RecoveryLog::read(&[0xff, 0xfe, 0x00, 0x80]), Err(ReportError::NotALog)));
    assert!(matches!(RecoveryLog::read(log(&[OTHER_EVENT.into()]).as_bytes()), Err(ReportError::NoRecovery)));
    for error in [ReportError::Empty, ReportError::NotALog, ReportError::NoRecovery] {
        assert!(!error.to_string().contains('\n'));
    }
}
