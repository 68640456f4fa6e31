//! The field names in stored records of loans. Versions from 0.3 on read and write these names, so that they
//! must not change when a field is renamed in the code.

use milletlock_cells::{BorrowedJob, BorrowedLoan, Lending, Loan, LoanNumber, TaskSet};
use serde_json::json;

#[test]
fn a_lenders_record_keeps_its_field_names() {
    let loan = Loan { number: LoanNumber(9), borrower: "south".into(), tasks: TaskSet::span(0, 5) };
    let lending = Lending { loans: vec![loan], cancelling: true };
    let stored = json!({
        "loans": [{ "number": 9, "guest": "south", "tasks": "0-4" }],
        "cancelling": true,
    });
    assert_eq!(serde_json::to_value(&lending).expect("a value"), stored);
    assert_eq!(serde_json::from_value::<Lending>(stored).expect("a record"), lending);
}

#[test]
fn a_borrowers_record_keeps_its_field_names() {
    let loan = BorrowedLoan { number: LoanNumber(9), tasks: TaskSet::span(3, 4) };
    let record =
        BorrowedJob { lender: "north".into(), description: json!({ "nameId": "wk-1" }), loans: vec![loan] };
    let stored = json!({
        "home": "north",
        "description": { "nameId": "wk-1" },
        "loans": [{ "number": 9, "tasks": "3" }],
    });
    assert_eq!(serde_json::to_value(&record).expect("a value"), stored);
    assert_eq!(serde_json::from_value::<BorrowedJob>(stored).expect("a record"), record);
}
