//! A caller.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client as Http;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// A caller with kept connections.
#[derive(Clone)]
pub struct Client {
    http: Http<HttpConnector, Full<Bytes>>,
}

/// What a caller sees.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The status; 0 if no head came.
    pub status: u16,
    /// The outcome header, empty if there is none.
    pub outcome: String,
    /// The reason header, empty if there is none.
    pub reason: String,
    /// All headers.
    pub headers: HeaderMap,
    /// The body, as far as it came.
    pub body: Bytes,
    /// The answer came to its end.
    pub whole: bool,
}

impl Default for Client {
    fn default() -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = Http::builder(TokioExecutor::new()).build(connector);
        Client { http }
    }
}

impl Client {
    /// Sends a request and reads its whole answer.
    pub async fn send(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Answer {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(body.into()))
            .expect("a good request");
        match self.http.request(request).await {
            Ok(response) => read(response).await,
            Err(_) => Answer::none(),
        }
    }
}

async fn read(response: http::Response<hyper::body::Incoming>) -> Answer {
    let (parts, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_) => {
                whole = false;
                break;
            }
        }
    }
    let text = |name: &str| {
        let value = parts
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_string()
    };
    Answer {
        status: parts.status.as_u16(),
        outcome: text("x-appleshore-outcome"),
        reason: text("x-appleshore-reason"),
        body: bytes.into(),
        whole,
        headers: parts.headers,
    }
}

impl Answer {
    fn none() -> Answer {
        Answer {
            status: 0,
            outcome: String::new(),
            reason: String::new(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            whole: false,
        }
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}
