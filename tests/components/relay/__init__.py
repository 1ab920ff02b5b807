"""Tests of passing the news of the store on."""
