//! Frames as bytes: what is written is read, and bytes of any kind are read or refused.

use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::Config;
use unit::{Cause, Depth, Digest, Rate, Report, Token, Urgency};
use wire::codec::{decode, encode};
use wire::{
    Abort, Accepted, Ask, Call, Error, Frame, Header, Known, Note, Notice, Payload, Refusal, Reply,
    Topic,
};

fn config() -> Config {
    let set = Config::default();
    Config {
        cases: set.cases.max(2_000),
        failure_persistence: None,
        ..set
    }
}

fn parsed<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a good name")
}

fn call(number: u64, text: String, data: Vec<u8>) -> Call {
    Call {
        token: Token(u128::from(number) << 64),
        service: parsed("desk"),
        urgency: Urgency::ALL[number as usize % 3],
        caller: parsed("a@north"),
        weight: number as u32,
        remaining: Duration::from_nanos(number),
        goal: number
            .is_multiple_of(2)
            .then_some(Duration::from_micros(number)),
        class: number as u32,
        elsewhere: number.is_multiple_of(3),
        bulk: number.is_multiple_of(4),
        depth: Depth(number as u8),
        allowance: number as u8,
        once: number.is_multiple_of(5),
        kind: Digest(u128::from(number)),
        method: "POST".to_string(),
        uri: text.clone(),
        headers: vec![Header {
            name: text,
            value: data,
        }],
        body: Payload::Streamed,
        notice: notice(number),
    }
}

fn notice(number: u64) -> Option<Box<Notice>> {
    let notice = Notice {
        life: number.is_multiple_of(2).then_some(Digest(number.into())),
        max_rate: Some(Rate::of(number as f64 / 7.0)),
        leaving: number.is_multiple_of(5),
    };
    number.is_multiple_of(3).then(|| Box::new(notice))
}

fn frame() -> impl Strategy<Value = Frame> {
    let bytes = proptest::collection::vec(any::<u8>(), 0..200);
    let parts = (0_u8..11, any::<u64>(), ".{0,40}", bytes);
    parts.prop_map(|(kind, number, text, data)| {
        let token = Token(number.into());
        let report = number.is_multiple_of(2).then(|| Report {
            service_us: number as u32,
            ..Report::default()
        });
        let span = Duration::from_millis(number >> 16);
        match kind {
            0 => Frame::Call(call(number, text, data)),
            1 => Frame::Accepted(Accepted { token }),
            2 => Frame::Reply(Reply {
                token,
                status: number as u16,
                headers: vec![Header {
                    name: text,
                    value: data,
                }],
                allowance: number as u8,
                report,
                notice: notice(number),
            }),
            3 => Frame::Refusal(Refusal {
                token,
                cause: Cause::Deadline,
                retry_after: span,
                report,
            }),
            4 => Frame::Data(data.into()),
            5 => Frame::End,
            6 => Frame::Abort(Abort {
                late: number.is_multiple_of(2),
                cause: text,
            }),
            7 => Frame::Ask(Ask {
                token,
                fence: number.is_multiple_of(2),
                wait: span,
                remaining: span,
            }),
            8 => Frame::Known(Known::Unknown {
                fenced: number.is_multiple_of(2),
            }),
            9 => Frame::Known(Known::Done {
                held: number.is_multiple_of(2),
            }),
            _ => Frame::Note(Note {
                topic: Topic::Ledger,
                payload: data.into(),
            }),
        }
    })
}

/// Bytes either make a frame that can be sent on as it is, or are refused as garbled.
fn assert_read_or_refused(bytes: Bytes) -> Result<(), TestCaseError> {
    match decode(bytes) {
        Ok(frame) => {
            let again = encode(&frame).expect("a frame that was read can be written");
            prop_assert_eq!(decode(again).expect("what was written is read"), frame);
        }
        Err(Error::Garbled(..)) => {}
        Err(error) => return Err(TestCaseError::fail(error.to_string())),
    }
    Ok(())
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn what_is_written_is_read(frame in frame()) {
        let bytes = encode(&frame).expect("a frame of a usual size");
        prop_assert_eq!(decode(bytes).expect("it is read"), frame);
    }

    /// One byte is changed, the end is lost, or something follows.
    #[test]
    fn damaged_frames_are_read_or_refused(
        frame in frame(), place in any::<prop::sample::Index>(), byte in any::<u8>(), way in 0..3,
    ) {
        let mut bytes = encode(&frame).expect("a frame of a usual size").to_vec();
        let place = place.index(bytes.len());
        match way {
            0 => bytes[place] = byte,
            1 => bytes.truncate(place),
            _ => bytes.push(byte),
        }
        // The length is put right, so that more than its check is reached.
        if bytes.len() >= 4 {
            let length = (bytes.len() - 4) as u32;
            bytes[..4].copy_from_slice(&length.to_be_bytes());
        }
        assert_read_or_refused(bytes.into())?;
    }

    #[test]
    fn any_bytes_are_read_or_refused(body in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
        bytes.extend_from_slice(&body);
        assert_read_or_refused(bytes.into())?;
        assert_read_or_refused(body.into())?;
    }
}
