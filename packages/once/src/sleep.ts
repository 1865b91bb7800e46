/** @param ms - Duration in milliseconds. */
export async function sleepFor(ms: number): Promise<void> {
  await new Promise<void>((resolve) => {
    setTimeout(resolve, ms);
  });
}
