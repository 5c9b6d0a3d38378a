//! Fingerprints of requests: what they depend on, and their text form.

use switchfold_router::fingerprint::{RequestFingerprint, RequestParts};

const PARTS: RequestParts<'_> = RequestParts {
    method: "POST",
    host: "sample.example",
    target: "/stream/a?of=b",
    organisation: Some("fisher"),
    body: b"question",
};

#[test]
fn every_part_of_a_request_changes_its_fingerprint() {
    let rows = [
        ("the same", PARTS, true),
        ("host in capitals", RequestParts { host: "Sample.Example", ..PARTS }, true),
        ("method", RequestParts { method: "GET", ..PARTS }, false),
        ("host", RequestParts { host: "other.example", ..PARTS }, false),
        ("query", RequestParts { target: "/stream/a?of=c", ..PARTS }, false),
        ("organisation", RequestParts { organisation: Some("trader"), ..PARTS }, false),
        ("no organisation", RequestParts { organisation: None, ..PARTS }, false),
        ("an empty name", RequestParts { organisation: Some(""), ..PARTS }, false),
        ("body", RequestParts { body: b"question?", ..PARTS }, false),
        (
            "a boundary moved",
            RequestParts { method: "POSTs", host: "ample.example", ..PARTS },
            false,
        ),
    ];
    let known = RequestFingerprint::of(&PARTS);
    for (name, parts, same) in rows {
        assert_eq!(RequestFingerprint::of(&parts) == known, same, "{name}");
    }
}

#[test]
fn hexadecimal_digits_round_trip() {
    let known = RequestFingerprint::of(&PARTS);
    assert_eq!(RequestFingerprint::parse(&known.to_string()), Some(known));
    for digits in ["", "00", "zz000000000000000000000000000000", "é00000000000000000000000000000"]
    {
        assert_eq!(RequestFingerprint::parse(digits), None, "{digits}");
    }
}
