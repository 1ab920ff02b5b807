"""Admission control: request slots, a bounded queue, and retry budgets."""
