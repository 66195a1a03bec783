package org.streamring.kernel.placement;

/**
 * A part of a prompt, with which other prompts may begin as well.
 *
 * @param id identifier of its text
 * @param tokens its length
 */
public record PromptPart(String id, long tokens) {}
