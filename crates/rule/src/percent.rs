//! Strict percent-decoding.

/// Decodes `%XX` in `text`.
///
/// Returns `None` if a `%` is not followed by two hex digits or the result is not UTF-8.
pub(crate) fn decode(text: &str) -> Option<String> {
    if !text.contains('%') {
        return Some(text.to_string());
    }
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        if *first != b'%' {
            decoded.push(*first);
            rest = tail;
            continue;
        }
        decoded.push(hex_byte(tail)?);
        rest = &tail[2..];
    }
    String::from_utf8(decoded).ok()
}

/// Whether `text` contains a `%XX`.
pub(crate) fn is_encoded(text: &str) -> bool {
    let mut windows = text.as_bytes().windows(3);
    windows.any(|window| window[0] == b'%' && hex_byte(&window[1..]).is_some())
}

fn hex_byte(bytes: &[u8]) -> Option<u8> {
    let high = char::from(*bytes.first()?).to_digit(16)?;
    let low = char::from(*bytes.get(1)?).to_digit(16)?;
    u8::try_from(high * 16 + low).ok()
}
