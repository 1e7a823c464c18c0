//! Documents at the maximum size, and beyond it.

use rule::Document;

fn rules(count: usize) -> String {
    let rules = (0..count).map(|i| {
        let (area, path) = (i / 2 % 50, i / 2);
        format!(r#"{{"name":"{i}","when":{{"path":"/{area}/{path}"}},"then":{{"service":"s"}}}}"#)
    });
    let rules: Vec<String> = rules.collect();
    format!(r#"{{"rules":[{}]}}"#, rules.join(","))
}

#[test]
fn accepts_and_checks_the_maximum_number_of_rules() {
    let document = Document::parse(&rules(Document::MAX_RULES)).unwrap();
    assert_eq!(document.rules().len(), Document::MAX_RULES);
    let warnings = document.check();
    assert_eq!(warnings.len(), Document::MAX_RULES / 2);
    assert_eq!(
        (warnings[0].rule.as_str(), warnings[0].shadowed_by.as_str()),
        ("1", "0")
    );
    assert_eq!(warnings[0].position.line, 1);
}

#[test]
fn refuses_documents_above_the_maximum() {
    let error = Document::parse(&rules(Document::MAX_RULES + 1)).unwrap_err();
    let expected = "line 1, column 10: a list of 20001 elements: expected 1 to 20000";
    assert_eq!(error.to_string(), expected);
    let long = " ".repeat(Document::MAX_TEXT_BYTES + 1);
    let error = Document::parse(&long).unwrap_err();
    let expected = "line 1, column 1: 4000001 bytes are too many: expected at most 4000000";
    assert_eq!(error.to_string(), expected);
}
