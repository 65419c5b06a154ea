//! NBD with the fixed newstyle handshake, as far as the stubs need it: the endpoint's side, which answers
//! reads with a repeated byte, and the client's side.

use super::{invalid_data, Stream};
use shaletack::nbd::codec::{
    chunk, chunk_header, info_request, opt, option, option_reply, rep, transmission_flag, Request,
    FIXED_NEWSTYLE, INIT_MAGIC, NO_ZEROES, OPT_MAGIC, STRUCTURED_REPLY_MAGIC,
};
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Handshake flags of both sides.
const HANDSHAKE_FLAGS: u16 = FIXED_NEWSTYLE | NO_ZEROES;

/// Performs an endpoint's handshake until the client has chosen the export, whose size is `bytes`.
pub async fn offer_export(s: &mut Stream, bytes: u64) -> io::Result<()> {
    s.write_all(&[INIT_MAGIC.to_be_bytes(), OPT_MAGIC.to_be_bytes()].concat()).await?;
    s.write_all(&HANDSHAKE_FLAGS.to_be_bytes()).await?;
    s.read_u32().await?;
    loop {
        s.read_u64().await?;
        let (option, length) = (s.read_u32().await?, s.read_u32().await?);
        s.read_exact(&mut vec![0; length as usize]).await?;
        if option == opt::GO {
            let flags = (transmission_flag::FLAGS
                | transmission_flag::FLUSH
                | transmission_flag::FUA
                | transmission_flag::MULTI_CONN)
                .to_be_bytes();
            let export = [&[0, 0], &bytes.to_be_bytes()[..], &flags].concat();
            s.write_all(&option_reply(option, rep::INFO, &export)).await?;
        }
        s.write_all(&option_reply(option, rep::ACK, &[])).await?;
        if option == opt::GO {
            return Ok(());
        }
    }
}

/// Encodes the answer to a read: one chunk, in which each byte is `fill`.
pub fn read_reply(request: &Request, fill: u8) -> Vec<u8> {
    let length = request.length as usize;
    let mut reply = chunk_header(chunk::DONE, chunk::OFFSET_DATA, request.cookie, 8 + length);
    reply.extend(request.offset.to_be_bytes());
    reply.resize(reply.len() + length, fill);
    reply
}

/// Performs a client's handshake: requests structured replies and an export, with both options in one write.
pub async fn choose_export(s: &mut Stream, export: &str) -> io::Result<()> {
    if (s.read_u64().await?, s.read_u64().await?) != (INIT_MAGIC, OPT_MAGIC) {
        return Err(invalid_data("the other side is not an NBD server"));
    }
    s.read_u16().await?;
    let flags = u32::from(HANDSHAKE_FLAGS).to_be_bytes();
    let go = option(opt::GO, &info_request(export, &[]));
    s.write_all(&[&flags[..], &option(opt::STRUCTURED_REPLY, &[]), &go].concat()).await?;
    let mut acknowledged = 0;
    while acknowledged < 2 {
        s.read_u64().await?;
        s.read_u32().await?;
        let (kind, length) = (s.read_u32().await?, s.read_u32().await?);
        s.read_exact(&mut vec![0; length as usize]).await?;
        match kind {
            rep::ACK => acknowledged += 1,
            rep::INFO => {}
            _ => return Err(invalid_data("the server refused an option")),
        }
    }
    Ok(())
}

/// Reads the chunks of the next reply and returns whether the request was served.
pub async fn is_served(s: &mut Stream) -> io::Result<bool> {
    let mut served = true;
    loop {
        if s.read_u32().await? != STRUCTURED_REPLY_MAGIC {
            return Err(invalid_data("not a structured reply chunk"));
        }
        let (flags, kind) = (s.read_u16().await?, s.read_u16().await?);
        s.read_u64().await?;
        let length = s.read_u32().await?;
        s.read_exact(&mut vec![0; length as usize]).await?;
        served &= kind & chunk::IS_ERROR == 0;
        if flags & chunk::DONE != 0 {
            return Ok(served);
        }
    }
}
