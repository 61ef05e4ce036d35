//! Chat completion request, with an upper bound on the tokens that it can use.

use serde::Deserialize;

use crate::refusal::{Code, Refusal};
use crate::units::Tokens;

/// Maximum number of messages in a request.
pub const MESSAGES_MAX: usize = 1_024;

/// Maximum number of prompt tokens that a message needs in addition to its text.
const MESSAGE_OVERHEAD_TOKENS: u64 = 8;

/// Body of `POST /v1/chat/completions`; its other fields are forwarded unchanged.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatRequest {
    /// Name of the requested service.
    pub model: String,
    /// Messages of the conversation.
    pub messages: Vec<ChatMessage>,
    /// Maximum number of tokens to generate.
    #[serde(alias = "max_completion_tokens")]
    pub max_tokens: Option<u64>,
    /// Whether the answer is to be an event stream.
    #[serde(default)]
    pub stream: bool,
}

/// Message of a conversation.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatMessage {
    /// Role of the author.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

impl ChatRequest {
    /// Parses a request body, or returns a [`Code::BadRequest`] refusal.
    pub fn parse(body: &[u8]) -> Result<Self, Refusal> {
        let request: Self = serde_json::from_slice(body)
            .map_err(|error| Refusal::not_run(Code::BadRequest, format!("the body is no chat request: {error}")))?;
        match request.messages.len() {
            0 => Err(Refusal::not_run(Code::BadRequest, "messages is empty")),
            1..=MESSAGES_MAX => Ok(request),
            _ => Err(Refusal::not_run(Code::BadRequest, "messages holds more than 1024 messages")),
        }
    }

    /// Returns the maximum number of generated tokens, limited by the service's `cap`.
    pub fn output_cap(&self, cap: Tokens) -> Tokens {
        self.max_tokens.map_or(cap, Tokens).min(cap)
    }

    /// Returns an upper bound on the prompt tokens, as a token covers at least one byte.
    pub fn prompt_bound(&self) -> Tokens {
        let bytes: usize = self.messages.iter().map(|message| message.role.len() + message.content.len()).sum();
        Tokens(bytes as u64 + MESSAGE_OVERHEAD_TOKENS * self.messages.len() as u64)
    }

    /// Returns the conversation as one text for prefix matching.
    pub fn prompt(&self) -> String {
        self.messages.iter().flat_map(|message| [message.role.as_str(), "\n", &message.content, "\n"]).collect()
    }
}
