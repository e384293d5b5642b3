//! Text that a fake engine generates: a function of model, prompt and position only.
//!
//! A checker that knows the request can tell whether an answer is complete and whether it comes
//! from the right adapter and version.

use shallotdrum_types::{AdapterRef, BaseModelId};

/// Bytes of prompt that count as one token; close to real tokenizers on English text.
const PROMPT_BYTES_PER_TOKEN: usize = 4;

/// Generates the tokens of one answer.
pub(crate) struct TextModel {
    key: [u8; 32],
}

impl TextModel {
    pub(crate) fn new(base: &BaseModelId, adapter: &AdapterRef, prompt: &str) -> Self {
        // Names contain no zero byte, so different parts can't give the same input.
        let mut hasher = blake3::Hasher::new();
        hasher.update(format!("{base}\0{adapter}\0").as_bytes());
        hasher.update(prompt.as_bytes());
        Self { key: *hasher.finalize().as_bytes() }
    }

    /// Text of the token at an offset: six hexadecimal digits and a space.
    pub(crate) fn token(&self, offset: u64) -> String {
        let hash = blake3::keyed_hash(&self.key, &offset.to_le_bytes());
        let [a, b, c, ..] = *hash.as_bytes();
        format!("{a:02x}{b:02x}{c:02x} ")
    }
}

/// Text of a whole answer of `n_tokens` tokens.
pub fn expected_text(
    base: &BaseModelId,
    adapter: &AdapterRef,
    prompt: &str,
    n_tokens: u64,
) -> String {
    let model = TextModel::new(base, adapter, prompt);
    (0..n_tokens).map(|offset| model.token(offset)).collect()
}

/// Tokens that a fake engine counts for a prompt.
pub fn count_prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(PROMPT_BYTES_PER_TOKEN) as u64
}
