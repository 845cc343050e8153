//! Connects the external simulator to the decision module: reads frames from standard input, translates wire
//! ids to the module's indices and back, and writes replies to standard output. Each simulated instance has
//! its own module and id tables. Instances share only the numbered node lists, which the protocol defines for
//! the whole process.
#![forbid(unsafe_code)]

mod codec;
mod host;

use std::io::{self, Read, Write};

use codec::Malformed;

fn main() {
    if let Err(Malformed(what)) = serve(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        eprintln!("ivydrift-benchlink: {what}.");
        std::process::exit(1);
    }
}

/// Answers frames until the input ends; errors carry the number of the frame.
fn serve(input: &mut impl Read, output: &mut impl Write) -> codec::Result<()> {
    let mut host = host::Host::default();
    let mut frame = Vec::new();
    let mut frames = 0u64;
    loop {
        let with_frame_number = |Malformed(what)| Malformed(format!("frame {frames}: {what}"));
        if !read_frame(input, &mut frame).map_err(with_frame_number)? {
            return Ok(());
        }
        let reply = host.handle_frame(&frame).map_err(with_frame_number)?;
        if let Err(e) = output.write_all(&reply).and_then(|()| output.flush()) {
            return codec::malformed(format!("frame {frames}: cannot write the reply: {e}"));
        }
        frames += 1;
    }
}

/// Reads one frame and checks its stated length; false if the input has ended between two frames.
fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> codec::Result<bool> {
    frame.clear();
    read_up_to(input, frame, 16)?;
    if frame.is_empty() {
        return Ok(false);
    }
    if frame.len() < 16 {
        return codec::malformed(format!("input ends after {} bytes of a 16-byte header", frame.len()));
    }
    let len = u32::from_le_bytes(frame[4..8].try_into().expect("four bytes")) as usize;
    if len < 16 {
        return codec::malformed(format!(
            "the header states a length of {len} bytes, less than the header's own 16"
        ));
    }
    read_up_to(input, frame, len)?;
    if frame.len() < len {
        return codec::malformed(format!("input ends after {} of {len} bytes", frame.len()));
    }
    Ok(true)
}

/// Reads until `frame` holds `len` bytes or the input ends.
fn read_up_to(input: &mut impl Read, frame: &mut Vec<u8>, len: usize) -> codec::Result<()> {
    match input.take((len - frame.len()) as u64).read_to_end(frame) {
        Ok(_) => Ok(()),
        Err(e) => codec::malformed(format!("cannot read the input: {e}")),
    }
}
