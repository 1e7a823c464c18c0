//! Tests that the operators' page shows the documents in `good` unchanged.

#[test]
fn page_shows_the_tested_documents() {
    let page = include_str!("../../../docs/operators/rules.md");
    for text in [
        include_str!("good/song-hong.jsonc"),
        include_str!("good/quebec.jsonc"),
    ] {
        assert!(page.contains(&format!("```jsonc\n{text}```")));
    }
}
