//! HTTP headers as frames carry them.

use http::{HeaderMap, HeaderName, HeaderValue, header};
use serde::{Deserialize, Serialize};

/// One HTTP header; the value may be any bytes that HTTP allows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The name in lower case.
    pub name: String,
    /// The value as sent.
    pub value: Vec<u8>,
}

/// Headers that concern one connection only (RFC 9110, section 7.6.1), and are not passed on.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// All headers that we add, or that our own parts read, begin so.
const OWN_PREFIX: &str = "x-appleshore-";

impl Header {
    /// The headers of `map` that go on to the next hop.
    ///
    /// Those that `Connection` names and those with our own prefix stay behind: a caller can't
    /// write what only a daemon may say, and neither can a target.
    pub fn forward(map: &HeaderMap) -> Vec<Header> {
        let named = connection_names(map);
        let kept = map.iter().filter(|(name, _)| {
            let hop = HOP_BY_HOP.contains(name) || named.iter().any(|n| n == name.as_str());
            !hop && !name.as_str().starts_with(OWN_PREFIX)
        });
        let kept = kept.map(|(name, value)| Header {
            name: name.as_str().to_string(),
            value: value.as_bytes().to_vec(),
        });
        kept.collect()
    }

    /// The headers as HTTP's own map; one that HTTP does not allow is left out.
    pub fn map(headers: &[Header]) -> HeaderMap {
        let mut map = HeaderMap::with_capacity(headers.len() + 4);
        for Header { name, value } in headers {
            let name = HeaderName::from_bytes(name.as_bytes());
            let value = HeaderValue::from_bytes(value);
            if let (Ok(name), Ok(value)) = (name, value) {
                map.append(name, value);
            }
        }
        map
    }
}

fn connection_names(map: &HeaderMap) -> Vec<String> {
    let values = map.get_all(header::CONNECTION).into_iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(','));
    names.map(|name| name.trim().to_ascii_lowercase()).collect()
}
