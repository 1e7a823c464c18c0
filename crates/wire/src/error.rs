//! What can go wrong on a link, with the step and the peer.

use quick_error::quick_error;

quick_error! {
    /// A failure on a link or a stream.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The peer could not be reached, or one end's certificate is not an announced one; no frame
        /// has taken effect.
        Dial(peer: String, cause: String) {
            display("dial {peer}: {cause}")
        }
        /// The link broke while `step` was under way.
        Broken(step: &'static str, peer: String, cause: String) {
            display("{step} with {peer}: {cause}")
        }
        /// The peer ended this one stream; the link lives on.
        Reset(step: &'static str, peer: String) {
            display("{step} with {peer}: the peer reset the stream")
        }
        /// The peer sent a frame that is too large, unknown or garbled.
        Garbled(peer: String, cause: String) {
            display("frame from {peer}: {cause}")
        }
        /// The local socket or certificate could not be set up.
        Setup(step: &'static str, cause: String) {
            display("{step}: {cause}")
        }
    }
}

impl Error {
    pub(crate) fn dial(peer: impl ToString, cause: impl ToString) -> Error {
        Error::Dial(peer.to_string(), cause.to_string())
    }

    pub(crate) fn broken(step: &'static str, peer: impl ToString, cause: impl ToString) -> Error {
        Error::Broken(step, peer.to_string(), cause.to_string())
    }

    pub(crate) fn garbled(peer: impl ToString, cause: impl ToString) -> Error {
        Error::Garbled(peer.to_string(), cause.to_string())
    }

    pub(crate) fn setup(step: &'static str, cause: impl ToString) -> Error {
        Error::Setup(step, cause.to_string())
    }
}
