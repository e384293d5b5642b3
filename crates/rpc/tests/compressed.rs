//! Round trip of compressed values, and rejection of corrupt ones.

use shallotdrum_rpc::Compressed;

/// Guards against a round trip that alters the value, and against output that is not compressed.
#[test]
fn round_trip_is_lossless_and_small() {
    let value: Vec<String> = (0..1000).map(|i| format!("subscriber-{i}")).collect();
    let text = serde_json::to_string(&Compressed(&value)).unwrap();
    assert!(text.len() < serde_json::to_string(&value).unwrap().len() / 2, "{}", text.len());
    let Compressed(decoded) = serde_json::from_str::<Compressed<Vec<String>>>(&text).unwrap();
    assert_eq!(decoded, value);
}

/// Guards against a panic or a wrong value on corrupt input.
#[test]
fn corrupt_value_is_rejected() {
    let text = serde_json::to_string(&Compressed(vec![1, 2, 3])).unwrap();
    for corrupt in ["\"\"", "\"AAAA\"", &text.replace("KLUv", "KLUu"), "3"] {
        let result = serde_json::from_str::<Compressed<Vec<u32>>>(corrupt);
        assert!(result.is_err(), "{corrupt}: {result:?}");
    }
}
