//! Signed token with which a caller resumes a stream at any instance; see `docs/STREAMS.md`.

use std::net::SocketAddr;

use base64::Engine as _;
use base64::prelude::BASE64_URL_SAFE_NO_PAD;
use coltsfootpick_core::names::{BackendServerName, BudgetKey, RecordId, ServiceName};
use coltsfootpick_core::units::Tokens;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Longest token accepted, in bytes.
pub const TOKEN_MAX_BYTES: usize = 2_048;

/// Prefix of the signed bytes; it keeps token signatures distinct from other signatures made with the fleet's secret.
const SIGNATURE_DOMAIN: &[u8] = b"coltsfootpick stream token 1\n";

/// State that an instance needs to resume a stream that another instance opened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamToken {
    /// Id of the request; the stream is billed once under it.
    pub id: RecordId,
    /// Budget that pays; only its client account may resume the stream.
    pub budget: BudgetKey,
    /// Service that the caller requested.
    pub service: ServiceName,
    /// Backend server that runs the request.
    pub server: BackendServerName,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Upper bound of the request's cost, in tokens.
    pub bound: Tokens,
}

impl StreamToken {
    /// Encodes the token as text: the content and its signature, both in base64url.
    pub fn sign(&self, secret: &[u8]) -> String {
        let content = serde_json::to_vec(self).expect("a token is plain data");
        let signature = mac(secret, &content).finalize().into_bytes();
        format!("{}.{}", BASE64_URL_SAFE_NO_PAD.encode(content), BASE64_URL_SAFE_NO_PAD.encode(signature))
    }

    /// Decodes a token; `None` when it is too long, malformed or its signature is wrong.
    ///
    /// The signatures are compared in constant time.
    pub fn verify(text: &str, secret: &[u8]) -> Option<Self> {
        let (content, signature) = text.split_once('.').filter(|_| text.len() <= TOKEN_MAX_BYTES)?;
        let content = BASE64_URL_SAFE_NO_PAD.decode(content).ok()?;
        let signature = BASE64_URL_SAFE_NO_PAD.decode(signature).ok()?;
        mac(secret, &content).verify_slice(&signature).ok()?;
        serde_json::from_slice(&content).ok()
    }
}

fn mac(secret: &[u8], content: &[u8]) -> Hmac<Sha256> {
    let mac = Hmac::<Sha256>::new_from_slice(secret).expect("a MAC takes a key of any length");
    mac.chain_update(SIGNATURE_DOMAIN).chain_update(content)
}
