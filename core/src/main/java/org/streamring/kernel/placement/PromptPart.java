package org.streamring.kernel.placement;

/**
 * A part of a prompt, which other prompts may share as a prefix.
 *
 * @param id identifier of the text
 * @param tokens length in tokens
 */
public record PromptPart(String id, long tokens) {}
